use std::time::Duration;

use quickcheck::{Arbitrary, Gen, TestResult};
use retry::{
    AttemptEnd, CrashAction, CrashGuard, CrashMessage, Fingerprint, GuardDecision, RequestDigest,
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

fn fingerprint_of(name: &str) -> Fingerprint {
    Fingerprint::of("o", "route", &RequestDigest::of("POST", name, b""))
}

/// Two homes, and the backend servers that requests run on.
struct World {
    guards: [CrashGuard; 2],
    in_transit: Vec<(usize, u64, CrashMessage)>,
    now: Duration,
    attempts: u64,
    crashes: u32,
    /// Homes that have seen a reset and not yet the death: home, attempt's backend server, when.
    undetected: Vec<(usize, String, Duration)>,
    /// A bystander that runs beside the next crash: home and attempt.
    bystanders: Vec<(usize, u64, Fingerprint, String)>,
}

impl World {
    fn new() -> Self {
        let mut guards = [CrashGuard::new(1), CrashGuard::new(2)];
        guards.iter_mut().for_each(|g| g.set_homes(&[1, 2]));
        World {
            guards,
            in_transit: Vec::new(),
            now: MS * 1000,
            attempts: 0,
            crashes: 0,
            undetected: Vec::new(),
            bystanders: Vec::new(),
        }
    }

    /// Sends the crashing request; it takes down its backend server with all that runs there.
    fn crash(&mut self, home: usize) -> GuardDecision {
        self.attempts += 1;
        let backend = format!("b{}", self.crashes);
        let decision =
            self.guards[home].start(self.now, self.attempts, &fingerprint_of("crash"), &backend);
        if decision == GuardDecision::Run {
            self.crashes += 1;
            self.guards[home].finish_attempt(self.now, self.attempts, AttemptEnd::Reset);
            for (other, attempt, _, _) in self.bystanders.drain(..) {
                self.guards[other].finish_attempt(self.now, attempt, AttemptEnd::Reset);
            }
            // Each home finds out 400 ms later that the backend server has died.
            for home in 0..2 {
                self.undetected.push((home, backend.clone(), self.now + MS * 200));
            }
        }
        decision
    }

    /// Starts a bystander beside the next crash, or lets the one that runs succeed.
    fn bystander(&mut self, home: usize, number: u8) -> GuardDecision {
        if let Some((home, attempt, ..)) = self.bystanders.pop() {
            self.guards[home].finish_attempt(self.now, attempt, AttemptEnd::Completed);
            return GuardDecision::Run;
        }
        self.attempts += 1;
        let (fingerprint, backend) =
            (fingerprint_of(&format!("by{number}")), format!("b{}", self.crashes));
        let decision = self.guards[home].start(self.now, self.attempts, &fingerprint, &backend);
        if decision == GuardDecision::Run {
            self.bystanders.push((home, self.attempts, fingerprint, backend));
        }
        decision
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS * 10;
            let now = self.now;
            let (seen, undetected) = self.undetected.drain(..).partition(|(_, _, at)| *at <= now);
            self.undetected = undetected;
            for (home, backend, _) in seen {
                self.guards[home].mark_backend_crashed(now, &backend);
            }
            for (home, guard) in self.guards.iter_mut().enumerate() {
                for CrashAction::Send { to, message } in guard.poll(now) {
                    self.in_transit.push((to as usize - 1, home as u64 + 1, message));
                }
            }
        }
    }

    fn deliver(&mut self, pick: usize, twice: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        let at = pick % self.in_transit.len();
        let (to, from, message) = self.in_transit[at].clone();
        if !twice {
            self.in_transit.swap_remove(at);
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
                if !self.in_transit.is_empty() {
                    self.in_transit.swap_remove(usize::from(pick) % self.in_transit.len());
                }
            }
            Op::Wait { ms } => self.pass(MS * ms.into()),
            Op::Disagree { on } => self.guards[1].set_homes(if on { &[2, 1] } else { &[1, 2] }),
        }
    }

    /// Delivers everything for a while and tries a request at both homes; true once it has run.
    fn settle(&mut self, fingerprint: &Fingerprint) -> bool {
        for (home, attempt, ..) in self.bystanders.drain(..) {
            self.guards[home].finish_attempt(self.now, attempt, AttemptEnd::Abandoned);
        }
        for _ in 0..1500 {
            self.pass(MS * 20);
            while !self.in_transit.is_empty() {
                self.deliver(0, false);
            }
            for home in 0..2 {
                self.attempts += 1;
                let guard = &mut self.guards[home];
                if guard.start(self.now, self.attempts, fingerprint, "last") == GuardDecision::Run {
                    guard.finish_attempt(self.now, self.attempts, AttemptEnd::Completed);
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
            if world.crashes > 2 {
                return TestResult::error(format!("{} backend servers died", world.crashes));
            }
        }
        world.step(&Op::Disagree { on: false });
        for number in 0..3 {
            let fingerprint = fingerprint_of(&format!("by{number}"));
            let refused = |v| matches!(v, GuardDecision::Refuse(_));
            // A bystander of both deaths is refused like the one that crashes.
            let is_suspect =
                (0..2).any(|h| refused(world.guards[h].check(world.now, &fingerprint)));
            if !is_suspect && world.crashes < 2 && !world.settle(&fingerprint) {
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
    assert_eq!(world.bystander(1, 0), GuardDecision::Run);
    assert_eq!(world.crash(1), GuardDecision::Run);
    assert_eq!(world.crash(1), GuardDecision::Wait, "the reset may have been a death");
    world.pass(MS * 500);
    assert_eq!(world.crash(1), GuardDecision::Forward(1));
    for _ in 0..10 {
        world.deliver(0, false);
    }
    assert_eq!(world.crash(0), GuardDecision::Wait, "the other home has not confirmed");
    assert!(world.settle(&fingerprint_of("by0")));
    assert_eq!(world.bystander(0, 0), GuardDecision::Run, "a successful run clears it");
    assert_eq!(world.crash(0), GuardDecision::Run, "confirmed meanwhile");
    assert_eq!(world.crashes, 2);
    world.pass(MS * 500);
    assert!(matches!(world.crash(0), GuardDecision::Refuse(r) if r.crashes == 2));
    world.pass(Duration::from_secs(3700));
    assert_eq!(world.crash(0), GuardDecision::Run, "forgotten after an hour");
}

/// Guards against blaming requests for resets of a backend server that lives, and for one dead
/// among many.
#[test]
fn live_backend_and_crowd_make_no_suspects() {
    let mut guard = CrashGuard::new(1);
    let (first, second) = (fingerprint_of("a"), fingerprint_of("b"));
    assert_eq!(guard.start(MS, 1, &first, "b0"), GuardDecision::Run);
    assert!(!guard.finish_attempt(MS * 2, 1, AttemptEnd::Reset), "a first reset is not excused");
    assert_eq!(guard.check(MS * 3, &first), GuardDecision::Wait);
    assert_eq!(guard.start(MS * 3, 2, &second, "b0"), GuardDecision::Run);
    guard.finish_attempt(MS * 4, 2, AttemptEnd::Completed);
    assert_eq!(guard.check(MS * 5, &first), GuardDecision::Run);
    let crowd: Vec<_> = (0..20).map(|i| fingerprint_of(&format!("c{i}"))).collect();
    for (i, fingerprint) in crowd.iter().enumerate() {
        assert_eq!(guard.start(MS * 10, 10 + i as u64, fingerprint, "b1"), GuardDecision::Run);
    }
    guard.mark_backend_crashed(MS * 11, "b1");
    assert!(crowd.iter().all(|f| guard.check(MS * 12, f) == GuardDecision::Run));
}
