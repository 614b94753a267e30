use std::time::Duration;

use quickcheck::{Arbitrary, Gen, TestResult};
use retry::{
    AttemptEnd, CrashAction, CrashGuard, CrashMessage, Fingerprint, GuardDecision, RequestDigest,
};

const MS: Duration = Duration::from_millis(1);

/// One step of a caller, the network or the clock.
#[derive(Clone, Debug)]
enum Op {
    /// A caller sends the crashing request to a home.
    Crash { home: u8 },
    /// Another request starts on the backend server of the next crash, or the last one started
    /// completes.
    Bystander { home: u8, number: u8 },
    /// A message arrives, in any order, and again later if `twice`.
    Deliver { pick: u8, twice: bool },
    /// A message is lost.
    Lose { pick: u8 },
    /// Time passes.
    Wait { ms: u16 },
    /// The second home believes that it is the arbiter, or no longer does.
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

/// Simulation of two homes and the backend servers that run their requests.
struct Simulation {
    guards: [CrashGuard; 2],
    in_transit: Vec<(usize, u64, CrashMessage)>,
    now: Duration,
    attempts: u64,
    crashes: u32,
    /// Crashes that a home has not detected yet: home, backend server, time of detection.
    undetected: Vec<(usize, String, Duration)>,
    /// Other requests that run on the backend server of the next crash: home, attempt, fingerprint
    /// and backend server.
    bystanders: Vec<(usize, u64, Fingerprint, String)>,
}

impl Simulation {
    fn new() -> Self {
        let mut guards = [CrashGuard::new(1), CrashGuard::new(2)];
        guards.iter_mut().for_each(|g| g.set_homes(&[1, 2]));
        Simulation {
            guards,
            in_transit: Vec::new(),
            now: MS * 1000,
            attempts: 0,
            crashes: 0,
            undetected: Vec::new(),
            bystanders: Vec::new(),
        }
    }

    /// Sends the crashing request. If it runs, its backend server crashes and all requests there
    /// are reset.
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
            // Each home detects the crash 200 ms later.
            for home in 0..2 {
                self.undetected.push((home, backend.clone(), self.now + MS * 200));
            }
        }
        decision
    }

    /// Starts a bystander on the backend server of the next crash, or completes the last one.
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

    /// Advances the time in steps of 10 ms.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS * 10;
            let now = self.now;
            let (detected, undetected) =
                self.undetected.drain(..).partition(|(_, _, at)| *at <= now);
            self.undetected = undetected;
            for (home, backend, _) in detected {
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
            Op::Wait { ms } => self.advance(MS * ms.into()),
            Op::Disagree { on } => self.guards[1].set_homes(if on { &[2, 1] } else { &[1, 2] }),
        }
    }

    /// Delivers all messages for up to 30 s while a request is sent to both homes. Returns whether
    /// it has run.
    fn try_until_run(&mut self, fingerprint: &Fingerprint) -> bool {
        for (home, attempt, ..) in self.bystanders.drain(..) {
            self.guards[home].finish_attempt(self.now, attempt, AttemptEnd::Abandoned);
        }
        for _ in 0..1500 {
            self.advance(MS * 20);
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

/// Guards against one request that crashes a third backend server, and against bystanders that can
/// never run again, when messages are reordered, lost or duplicated.
#[test]
fn one_request_crashes_at_most_two_backend_servers() {
    fn property(ops: Vec<Op>) -> TestResult {
        let mut simulation = Simulation::new();
        for op in &ops {
            simulation.step(op);
            if simulation.crashes > 2 {
                return TestResult::error(format!(
                    "{} backend servers crashed",
                    simulation.crashes
                ));
            }
        }
        simulation.step(&Op::Disagree { on: false });
        for number in 0..3 {
            let fingerprint = fingerprint_of(&format!("by{number}"));
            let refused = |v| matches!(v, GuardDecision::Refuse(_));
            // A bystander of both crashes is refused like the crashing request.
            let is_refused =
                (0..2).any(|h| refused(simulation.guards[h].check(simulation.now, &fingerprint)));
            if !is_refused && simulation.crashes < 2 && !simulation.try_until_run(&fingerprint) {
                return TestResult::error(format!("bystander {number} cannot run"));
            }
        }
        TestResult::passed()
    }
    fuzz::check(120, 2000, property as fn(Vec<Op>) -> TestResult);
}

/// Guards against a suspect that runs at a home other than the arbiter or before the other home
/// has confirmed, and against a request that stays a suspect after it has completed.
#[test]
fn suspect_runs_only_at_arbiter_after_confirmation() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.bystander(1, 0), GuardDecision::Run);
    assert_eq!(simulation.crash(1), GuardDecision::Run);
    assert_eq!(simulation.crash(1), GuardDecision::Wait, "the reset may be due to a crash");
    simulation.advance(MS * 500);
    assert_eq!(simulation.crash(1), GuardDecision::Forward(1));
    for _ in 0..10 {
        simulation.deliver(0, false);
    }
    assert_eq!(simulation.crash(0), GuardDecision::Wait, "the other home has not confirmed");
    assert!(simulation.try_until_run(&fingerprint_of("by0")));
    assert_eq!(simulation.bystander(0, 0), GuardDecision::Run, "a completed run clears it");
    assert_eq!(simulation.crash(0), GuardDecision::Run, "the other home has confirmed meanwhile");
    assert_eq!(simulation.crashes, 2);
    simulation.advance(MS * 500);
    assert!(matches!(simulation.crash(0), GuardDecision::Refuse(r) if r.crashes == 2));
    simulation.advance(Duration::from_secs(3700));
    assert_eq!(simulation.crash(0), GuardDecision::Run, "the record expires after an hour");
}

/// Guards against treating a request as a suspect after a reset by a backend server that did not
/// crash, or because it was one of many on a backend server that crashed.
#[test]
fn harmless_reset_and_crowded_crash_make_no_suspects() {
    let mut guard = CrashGuard::new(1);
    let (first, second) = (fingerprint_of("a"), fingerprint_of("b"));
    assert_eq!(guard.start(MS, 1, &first, "b0"), GuardDecision::Run);
    assert!(
        !guard.finish_attempt(MS * 2, 1, AttemptEnd::Reset),
        "the first reset counts against the backend server"
    );
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
