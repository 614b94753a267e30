use std::time::Duration;

use quickcheck::{Arbitrary, Gen, TestResult};
use retry::{
    AttemptEnd, CrashAction, CrashGuard, CrashMessage, Fingerprint, RequestDigest, Verdict,
};

const MS: Duration = Duration::from_millis(1);

/// One step of a caller, of the network or of time.
#[derive(Clone, Debug)]
enum Op {
    /// The caller of the crashing request tries a home.
    Crash { home: u8 },
    /// Another request runs through, alone or on the backend server of the crashing one.
    Bystander { home: u8, number: u8 },
    /// A message arrives, out of order, and again later if `twice`.
    Deliver { pick: u8, twice: bool },
    /// A message is lost.
    Lose { pick: u8 },
    /// Time passes.
    Wait { ms: u16 },
    /// The second home takes itself for the arbiter, or no longer.
    Disagree { on: bool },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..5 => Op::Crash { home: pick % 2 },
            5 => Op::Bystander { home: pick % 2, number: pick / 2 % 3 },
            6..11 => Op::Deliver { pick, twice: u8::arbitrary(g).is_multiple_of(4) },
            11 => Op::Lose { pick },
            12..15 => Op::Wait { ms: u16::arbitrary(g) % [30, 300, 3000][usize::from(pick) % 3] },
            _ => Op::Disagree { on: pick.is_multiple_of(2) },
        }
    }
}

fn print(name: &str) -> Fingerprint {
    Fingerprint::of("o", "route", &RequestDigest::of("POST", name, b""))
}

/// Two homes, and the backend servers that requests run on.
struct World {
    guards: [CrashGuard; 2],
    mail: Vec<(usize, u64, CrashMessage)>,
    now: Duration,
    attempts: u64,
    deaths: u32,
    /// Homes that have seen a reset and not yet the death: home, attempt's backend server, when.
    unseen: Vec<(usize, String, Duration)>,
    /// A bystander that runs beside the next crash: home and attempt.
    beside: Vec<(usize, u64, Fingerprint, String)>,
}

impl World {
    fn new() -> Self {
        let mut guards = [CrashGuard::new(1), CrashGuard::new(2)];
        guards.iter_mut().for_each(|g| g.set_homes(&[1, 2]));
        World {
            guards,
            mail: Vec::new(),
            now: MS * 1000,
            attempts: 0,
            deaths: 0,
            unseen: Vec::new(),
            beside: Vec::new(),
        }
    }

    /// Sends the crashing request; it takes down its backend server with all that runs there.
    fn crash(&mut self, home: usize) -> Verdict {
        self.attempts += 1;
        let backend = format!("b{}", self.deaths);
        let verdict = self.guards[home].start(self.now, self.attempts, &print("crash"), &backend);
        if verdict == Verdict::Run {
            self.deaths += 1;
            self.guards[home].ended(self.now, self.attempts, AttemptEnd::Reset);
            for (other, attempt, _, _) in self.beside.drain(..) {
                self.guards[other].ended(self.now, attempt, AttemptEnd::Reset);
            }
            // Each home finds out 400 ms later that the backend server has died.
            for home in 0..2 {
                self.unseen.push((home, backend.clone(), self.now + MS * 200));
            }
        }
        verdict
    }

    /// Starts a bystander beside the next crash, or lets the one that runs succeed.
    fn bystander(&mut self, home: usize, number: u8) -> Verdict {
        if let Some((home, attempt, ..)) = self.beside.pop() {
            self.guards[home].ended(self.now, attempt, AttemptEnd::Answered);
            return Verdict::Run;
        }
        self.attempts += 1;
        let (fingerprint, backend) = (print(&format!("by{number}")), format!("b{}", self.deaths));
        let verdict = self.guards[home].start(self.now, self.attempts, &fingerprint, &backend);
        if verdict == Verdict::Run {
            self.beside.push((home, self.attempts, fingerprint, backend));
        }
        verdict
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS * 10;
            let now = self.now;
            let (seen, unseen) = self.unseen.drain(..).partition(|(_, _, at)| *at <= now);
            self.unseen = unseen;
            for (home, backend, _) in seen {
                self.guards[home].backend_died(now, &backend);
            }
            for (home, guard) in self.guards.iter_mut().enumerate() {
                for CrashAction::Send { to, message } in guard.poll(now) {
                    self.mail.push((to as usize - 1, home as u64 + 1, message));
                }
            }
        }
    }

    fn deliver(&mut self, pick: usize, twice: bool) {
        if self.mail.is_empty() {
            return;
        }
        let at = pick % self.mail.len();
        let (to, from, message) = self.mail[at].clone();
        if !twice {
            self.mail.swap_remove(at);
        }
        self.guards[to].receive(self.now, from, message);
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Crash { home } => {
                self.crash(home.into());
            }
            Op::Bystander { home, number } => {
                self.bystander(home.into(), number);
            }
            Op::Deliver { pick, twice } => self.deliver(pick.into(), twice),
            Op::Lose { pick } => {
                if !self.mail.is_empty() {
                    self.mail.swap_remove(usize::from(pick) % self.mail.len());
                }
            }
            Op::Wait { ms } => self.pass(MS * ms.into()),
            Op::Disagree { on } => self.guards[1].set_homes(if on { &[2, 1] } else { &[1, 2] }),
        }
    }

    /// Delivers everything for a while and tries a request at both homes; true once it has run.
    fn settle(&mut self, fingerprint: &Fingerprint) -> bool {
        for (home, attempt, ..) in self.beside.drain(..) {
            self.guards[home].ended(self.now, attempt, AttemptEnd::Abandoned);
        }
        for _ in 0..1500 {
            self.pass(MS * 20);
            while !self.mail.is_empty() {
                self.deliver(0, false);
            }
            for home in 0..2 {
                self.attempts += 1;
                let guard = &mut self.guards[home];
                if guard.start(self.now, self.attempts, fingerprint, "last") == Verdict::Run {
                    guard.ended(self.now, self.attempts, AttemptEnd::Answered);
                    return true;
                }
            }
        }
        false
    }
}

/// Guards against a third backend server lost to one request, and against bystanders that are
/// held back for good, whatever the order, loss and doubling of messages.
#[test]
fn one_request_takes_down_two_at_most() {
    fn property(ops: Vec<Op>) -> TestResult {
        let mut world = World::new();
        for op in &ops {
            world.step(op);
            if world.deaths > 2 {
                return TestResult::error(format!("{} backend servers died", world.deaths));
            }
        }
        world.step(&Op::Disagree { on: false });
        for number in 0..3 {
            let fingerprint = print(&format!("by{number}"));
            let refused = |v| matches!(v, Verdict::Refuse(_));
            // A bystander of both deaths is refused like the one that crashes.
            let blamed = (0..2).any(|h| refused(world.guards[h].check(world.now, &fingerprint)));
            if !blamed && world.deaths < 2 && !world.settle(&fingerprint) {
                return TestResult::error(format!("bystander {number} is held back"));
            }
        }
        TestResult::passed()
    }
    fuzz::check(120, 2000, property as fn(Vec<Op>) -> TestResult);
}

/// Guards against a suspect that runs anywhere but at the arbiter or before the other home knows,
/// and against one that stays a suspect after it ran.
#[test]
fn suspect_runs_once_at_the_arbiter() {
    let mut world = World::new();
    assert_eq!(world.bystander(1, 0), Verdict::Run);
    assert_eq!(world.crash(1), Verdict::Run);
    assert_eq!(world.crash(1), Verdict::Wait, "the reset may have been a death");
    world.pass(MS * 500);
    assert_eq!(world.crash(1), Verdict::GoTo(1));
    for _ in 0..10 {
        world.deliver(0, false);
    }
    assert_eq!(world.crash(0), Verdict::Wait, "the other home has not confirmed");
    assert!(world.settle(&print("by0")));
    assert_eq!(world.bystander(0, 0), Verdict::Run, "a successful run clears it");
    assert_eq!(world.crash(0), Verdict::Run, "confirmed meanwhile");
    assert_eq!(world.deaths, 2);
    world.pass(MS * 500);
    assert!(matches!(world.crash(0), Verdict::Refuse(r) if r.deaths == 2));
    world.pass(Duration::from_secs(3700));
    assert_eq!(world.crash(0), Verdict::Run, "forgotten after an hour");
}

/// Guards against blaming requests for resets of a backend server that lives, and for one dead
/// among many.
#[test]
fn live_backend_and_crowd_make_no_suspects() {
    let mut guard = CrashGuard::new(1);
    let (first, second) = (print("a"), print("b"));
    assert_eq!(guard.start(MS, 1, &first, "b0"), Verdict::Run);
    assert!(!guard.ended(MS * 2, 1, AttemptEnd::Reset), "a first reset is not excused");
    assert_eq!(guard.check(MS * 3, &first), Verdict::Wait);
    assert_eq!(guard.start(MS * 3, 2, &second, "b0"), Verdict::Run);
    guard.ended(MS * 4, 2, AttemptEnd::Answered);
    assert_eq!(guard.check(MS * 5, &first), Verdict::Run);
    let crowd: Vec<_> = (0..20).map(|i| print(&format!("c{i}"))).collect();
    for (i, fingerprint) in crowd.iter().enumerate() {
        assert_eq!(guard.start(MS * 10, 10 + i as u64, fingerprint, "b1"), Verdict::Run);
    }
    guard.backend_died(MS * 11, "b1");
    assert!(crowd.iter().all(|f| guard.check(MS * 12, f) == Verdict::Run));
}
