use quickcheck::{Arbitrary, Gen, TestResult};

use crate::fleet::Fleet;

/// Number of VM names.
const NAMES: usize = 12;

/// A fault, or a delay between faults.
#[derive(Clone, Debug)]
enum Op {
    /// A process dies.
    Kill { pick: u8 },
    /// A process dies and a new one of the same VM starts later.
    Restart { pick: u8, after: u16 },
    /// A process is paused.
    Pause { pick: u8, ms: u16 },
    /// Messages from one VM to another are lost from now on.
    Block { from: u8, to: u8 },
    /// All blocked directions work again.
    Unblock,
    /// A VM merges an outdated list.
    MergeList { pick: u8, age: u8 },
    /// Virtual time advances.
    Advance { ms: u16 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let (pick, other, ms) = (u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g));
        match other % 16 {
            0 => Op::Kill { pick },
            1..4 => Op::Restart { pick, after: ms % 4000 },
            4..7 => Op::Pause { pick, ms: ms % 5000 },
            7..9 => Op::Block { from: pick, to: other / 16 },
            9 => Op::Unblock,
            10..13 => Op::MergeList { pick, age: other / 16 },
            _ => Op::Advance { ms: ms % 3000 },
        }
    }
}

struct Run {
    fleet: Fleet,
    lists: Vec<Vec<kernel::VmEntry>>,
}

impl Run {
    /// Picks a running process. The first three are never picked, so that a fleet remains.
    fn pick(&self, pick: u8) -> Option<usize> {
        let running = |i: &usize| self.fleet.vms[*i].running;
        let all: Vec<usize> = (3..self.fleet.vms.len()).filter(running).collect();
        all.get(usize::from(pick) % all.len().max(1)).copied()
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Kill { pick } => {
                if let Some(i) = self.pick(pick) {
                    self.fleet.vms[i].running = false;
                }
            }
            Op::Restart { pick, after } => {
                if let Some(i) = self.pick(pick) {
                    let name = self.fleet.vms[i].entry.vm.trim_start_matches("vm").parse();
                    self.fleet.vms[i].running = false;
                    self.fleet.advance(after.into());
                    self.fleet.start(name.expect("a number"));
                    let last = self.fleet.vms.len() - 1;
                    let list = self.lists[self.lists.len().saturating_sub(2)].clone();
                    self.fleet.seed(last, &list);
                }
            }
            Op::Pause { pick, ms } => {
                if let Some(i) = self.pick(pick) {
                    self.fleet.vms[i].paused_until = self.fleet.now + u64::from(ms);
                }
            }
            Op::Block { from, to } => {
                let (from, to) = (usize::from(from) % NAMES, usize::from(to) % NAMES);
                self.fleet.blocked.insert((from, to));
            }
            Op::Unblock => self.fleet.blocked.clear(),
            Op::MergeList { pick, age } => {
                if let Some(i) = self.pick(pick) {
                    let at = self.lists.len().saturating_sub(1 + usize::from(age) % 8);
                    let list = self.lists[at].clone();
                    self.fleet.seed(i, &list);
                }
            }
            Op::Advance { ms } => self.fleet.advance(ms.into()),
        }
        self.lists.push(self.fleet.list());
    }
}

/// Guards against live VMs that stay marked dead, dead VMs that stay marked live and old processes
/// that come back, after any sequence of crashes, restarts, pauses, one-way losses and old lists.
#[test]
fn views_converge() {
    fn property(ops: Vec<Op>, seed: u64) -> TestResult {
        let fleet = Fleet::new(NAMES, seed);
        let lists = vec![fleet.list()];
        let mut run = Run { fleet, lists };
        run.fleet.loss = 0.01;
        run.fleet.advance(1_000);
        for op in &ops {
            run.step(op);
        }
        // Three one-way losses may stay; every VM can still be reached through others.
        let keep: Vec<_> = run.fleet.blocked.iter().copied().take(3).collect();
        run.fleet.blocked = keep.into_iter().collect();
        run.fleet.advance(20_000);
        run.fleet.loss = 0.0;
        run.fleet.advance(4_000);
        let wrong = run.fleet.wrong_views();
        if !wrong.is_empty() {
            return TestResult::error(format!("wrong views (viewer, process): {wrong:?}"));
        }
        TestResult::passed()
    }
    fuzz::check(25, 40, property as fn(Vec<Op>, u64) -> TestResult);
}
