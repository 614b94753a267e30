use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{AttemptId, AttemptOutcome, EjectReason};

use crate::baseline::Baseline;
use crate::score::{Score, weigh_age};
use crate::state::{State, ramp_share};

/// Weight of a new latency in the recent mean: about the last ten answers.
const RECENT_PACE: f64 = 0.2;
/// Weight of a new latency in the own past: about the last two hundred answers.
const PAST_PACE: f64 = 0.01;
/// Answers until a backend server counts as warm.
const WARM: u32 = 16;
/// Answers until a backend server no longer counts as cold lately.
const FRESH: u32 = 64;
/// Idle time after which a backend server counts as cold.
const IDLE: Duration = Duration::from_secs(60);
/// Factor that a cold backend server may be slower without being judged.
const COLD_FACTOR: f64 = 4.0;
/// Factor that the own past may lie above the service's baseline.
const PAST_FACTOR: f64 = 2.0;
/// Time after a crash that the crash guard blames on a request in which failures to connect are
/// the restart.
const RESTART: Duration = Duration::from_secs(10);
/// Time that a backend server is used last after it shed a request.
const SHED: Duration = Duration::from_millis(200);
/// Longest pause that is no reason to eject.
const PAUSE: Duration = Duration::from_millis(500);
/// Shortest age at which an unanswered request is evidence. Schedulers and networks delay single
/// requests of fast services this much.
const LEAST_AGE: Duration = Duration::from_millis(100);
/// First wait after an ejection; it doubles with every ejection soon after.
const WAIT: Duration = Duration::from_secs(5);
/// Most doublings of the wait: 320 s.
const DOUBLINGS: u32 = 6;
/// Time without an ejection after which the wait starts anew.
const CALM: Duration = Duration::from_secs(600);
/// Time without a hint of leaving after which a backend server that was leaving may be back.
const RETURN: Duration = Duration::from_secs(60);

/// A request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    /// When it was sent.
    pub sent: Uptime,
    /// True if its connection had served others.
    pub reused: bool,
    /// True if the backend server was half-open when it was sent.
    pub trial: bool,
    /// When the head of the answer came.
    pub answered: Option<Uptime>,
    /// Requests that were sent later and have been answered.
    pub overtaken: u32,
    /// True once its connection was given up as silent.
    pub dropped: bool,
}

/// Evidence about one backend server.
pub(crate) struct Track {
    /// What it is allowed to do.
    pub state: State,
    /// True while the evidence makes it suspect.
    pub suspect: bool,
    /// Evidence from ended requests.
    pub score: Score,
    /// Requests on their way.
    pub flights: BTreeMap<AttemptId, Flight>,
    /// Recent latencies.
    pub recent: Baseline,
    /// Failures to connect since the last answer, and the times of the first and the last.
    pub connect_fails: u32,
    pub connect_since: Uptime,
    pub connect_last: Uptime,
    /// When it answered last, if only with an error.
    pub alive: Option<Uptime>,
    /// Last report of another VM that could reach it.
    pub peer_reached: Option<Uptime>,
    /// When a probe was sent to find out whether the way from here is broken.
    pub way_asked: Option<Uptime>,
    /// End of the last such probe, and whether it was answered.
    pub way: Option<(Uptime, bool)>,
    /// Ejections since it was calm; sets the wait.
    pub flaps: u32,
    /// True if there was bad evidence since the last ejection.
    pub tainted: bool,
    /// True once a trial has failed; the next evaluation ejects it again.
    pub trial_failed: bool,
    /// When a silent connection was dropped last.
    pub dropped_at: Option<Uptime>,
    /// What the configuration says.
    pub spec_draining: bool,
    /// Latencies while it was not suspect.
    past: Baseline,
    /// Mean logarithm that the next latencies are judged by.
    mean: f64,
    /// Deviation of the logarithms of the service's latencies.
    spread: f64,
    /// Answers since it was cold.
    answers: u32,
    last_sent: Uptime,
    last_eject: Uptime,
    shed_until: Uptime,
    restart_until: Uptime,
}

impl Track {
    /// A backend server without evidence.
    pub fn new(now: Uptime, state: State) -> Self {
        Track {
            state,
            suspect: false,
            score: Score::default(),
            flights: BTreeMap::new(),
            recent: Baseline::new(RECENT_PACE),
            connect_fails: 0,
            connect_since: now,
            connect_last: now,
            alive: None,
            peer_reached: None,
            way_asked: None,
            way: None,
            flaps: 0,
            tainted: false,
            trial_failed: false,
            dropped_at: None,
            spec_draining: false,
            past: Baseline::new(PAST_PACE),
            mean: 0.0,
            spread: 1.0,
            answers: 0,
            last_sent: now,
            last_eject: now,
            shed_until: Uptime::ZERO,
            restart_until: Uptime::ZERO,
        }
    }

    /// What the balancer is told.
    pub fn health_status(&self, now: Uptime) -> HealthStatus {
        let share = match self.state {
            State::Ejected { .. } => return HealthStatus::Ejected,
            State::HalfOpen { .. } => return HealthStatus::HalfOpen,
            State::Unreachable { .. } => return HealthStatus::Unreachable,
            State::Draining { .. } => return HealthStatus::Draining,
            State::Taking => None,
            State::Ramp { since, .. } => ramp_share(now, since),
        };
        if self.suspect || now < self.shed_until || self.connect_fails > 0 {
            return HealthStatus::Suspect;
        }
        share.map_or(HealthStatus::Healthy, HealthStatus::Ramping)
    }

    /// Whether it has answered little since it was cold.
    pub fn is_fresh(&self) -> bool {
        self.answers < FRESH
    }

    /// Takes the service's baseline: latencies are judged by the worse of it and the own past.
    /// `together` tells that the baseline is that of backend servers that were cold lately, too.
    pub fn set_baseline(&mut self, now: Uptime, service: f64, spread: f64, together: bool) {
        let past = self.past.mean(now, 20, CALM).unwrap_or(service);
        let cold = if self.answers < WARM && !together { COLD_FACTOR.ln() } else { 0.0 };
        self.mean = past.clamp(service, service + PAST_FACTOR.ln()) + cold;
        self.spread = spread;
    }

    /// Deviations of a latency from the baseline.
    pub fn deviation(&self, latency: Duration) -> f64 {
        (latency.as_secs_f64().max(1e-6).ln() - self.mean) / self.spread
    }

    /// Evidence of unanswered requests, with the time that the oldest was sent. `pause` is the
    /// part of their age that is excused.
    /// Only requests sent at `from` or later are weighed.
    fn weigh_flights(&self, now: Uptime, pause: Duration, from: Uptime) -> (f64, Option<Uptime>) {
        let mut sum = (0.0, None);
        for flight in self.flights.values() {
            let age = now.saturating_sub(flight.sent).saturating_sub(pause);
            if flight.answered.is_some() || flight.dropped || age < LEAST_AGE || flight.sent < from
            {
                continue;
            }
            let weight = weigh_age(self.deviation(age));
            if weight > 0.0 {
                sum.0 += weight;
                sum.1 = sum.1.map_or(Some(flight.sent), |at: Uptime| Some(at.min(flight.sent)));
            }
        }
        sum
    }

    /// Strongest evidence, its reason and its start, for the decision to suspect.
    pub fn weigh(&self, now: Uptime) -> (f64, EjectReason, Uptime) {
        let (waiting, oldest) = self.weigh_flights(now, Duration::ZERO, Uptime::ZERO);
        self.score.strongest(now, waiting, oldest)
    }

    /// Strongest evidence, its reason and its start, for the decision to eject: a pause that
    /// delays all requests in flight is not counted once for each.
    pub fn weigh_patiently(&self, now: Uptime) -> (f64, EjectReason, Uptime) {
        let (all, oldest) = self.weigh_flights(now, PAUSE, Uptime::ZERO);
        // Requests that overlap an ended one that counts may have met the same pause.
        let from = self.score.stall.counted().unwrap_or_default();
        let later = self.weigh_flights(now, PAUSE, from).0;
        let waiting = later.max(all - self.score.stall.value(now));
        self.score.strongest(now, waiting, oldest)
    }

    /// Takes note of a request that went out.
    pub fn send(&mut self, now: Uptime, attempt: AttemptId, reused: bool) {
        if now.saturating_sub(self.last_sent) > IDLE {
            self.answers = 0;
            self.recent.reset();
        }
        self.last_sent = now;
        let trial = matches!(self.state, State::HalfOpen { .. });
        let (answered, dropped) = (None, false);
        let flight = Flight { sent: now, reused, trial, answered, overtaken: 0, dropped };
        self.flights.insert(attempt, flight);
    }

    /// Takes the end of an attempt. Returns the logarithm of the latency of a whole answer.
    pub fn end(
        &mut self,
        now: Uptime,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        excused: bool,
    ) -> Option<f64> {
        let flight = self.flights.remove(&attempt);
        if outcome == AttemptOutcome::Draining {
            self.drain(now);
            return None;
        }
        if excused {
            // The other requests that it ran died with it, before or after this one.
            self.score.fail.set(now, 0.0);
            self.restart_until = now + RESTART;
            self.answers = 0;
            return None;
        }
        let failed = !matches!(
            outcome,
            AttemptOutcome::Success | AttemptOutcome::Shed | AttemptOutcome::Cancelled
        );
        // Only a failure to connect may come without a flight.
        self.trial_failed |= failed && flight.as_ref().is_none_or(|flight| flight.trial);
        let sent = flight.as_ref().map_or(now, |flight| flight.sent);
        let dropped = flight.as_ref().is_some_and(|flight| flight.dropped);
        let unanswered = flight.as_ref().is_some_and(|flight| flight.answered.is_none());
        let z = self.deviation(now.saturating_sub(sent));
        match outcome {
            AttemptOutcome::Success => return Some(self.succeed(now, flight?)),
            AttemptOutcome::ServerError => {
                self.answer(now);
                self.blame(now, sent);
            }
            AttemptOutcome::Shed => {
                self.answer(now);
                self.shed_until = now + SHED;
            }
            AttemptOutcome::ConnectFailed => {
                if self.connect_fails == 0 {
                    self.connect_since = now;
                }
                self.connect_last = now;
                self.connect_fails += 1;
                self.answers = 0;
                self.blame(now, sent);
            }
            AttemptOutcome::Reset if !dropped => self.blame(now, sent),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if unanswered && !dropped => {
                self.score.abandon(now, sent, z, self.alive);
                self.tainted |= weigh_age(z) > 0.0;
            }
            AttemptOutcome::TimedOut if !dropped => self.blame(now, sent),
            _ => (),
        }
        None
    }

    fn blame(&mut self, now: Uptime, sent: Uptime) {
        if now >= self.restart_until {
            self.score.fail(now, sent);
            self.tainted = true;
        }
    }

    fn answer(&mut self, now: Uptime) {
        self.alive = Some(now);
        self.connect_fails = 0;
    }

    fn succeed(&mut self, now: Uptime, flight: Flight) -> f64 {
        let latency = flight.answered.unwrap_or(now).saturating_sub(flight.sent);
        let sample = latency.as_secs_f64().max(1e-6).ln();
        let z = self.deviation(latency);
        self.answer(now);
        self.answers = self.answers.saturating_add(1);
        self.score.succeed(now, flight.sent, z, self.spread);
        self.recent.add(now, sample);
        if !self.suspect && z < 3.0 {
            self.past.add(now, sample);
        }
        for other in self.flights.values_mut().filter(|other| other.sent < flight.sent) {
            other.overtaken += 1;
        }
        if let State::HalfOpen { passed } = &mut self.state {
            *passed += u32::from(flight.trial);
        }
        sample
    }

    /// Takes a sign that the backend server is leaving.
    pub fn drain(&mut self, now: Uptime) {
        self.state = State::Draining { sign: now };
    }

    /// Takes a sign that it is not leaving. One that was leaving is believed only after a while:
    /// load reports lag.
    pub fn undrain(&mut self, now: Uptime) {
        if let State::Draining { sign } = self.state
            && !self.spec_draining
            && now.saturating_sub(sign) >= RETURN
        {
            self.start_cold(now);
        }
    }

    /// Starts it anew, slowly.
    pub fn start_cold(&mut self, now: Uptime) {
        self.answers = 0;
        self.recover(now, false);
    }

    /// Lets it take one trial at a time. Requests that are still on their way are old evidence.
    pub fn half_open(&mut self) {
        self.tainted |= self.flights.values().any(|flight| flight.answered.is_none());
        self.state = State::HalfOpen { passed: 0 };
        self.trial_failed = false;
        self.forget();
    }

    fn forget(&mut self) {
        self.suspect = false;
        self.connect_fails = 0;
        self.score = Score::default();
        for flight in self.flights.values_mut() {
            flight.dropped = true;
        }
    }

    /// Lets it take a growing share of work, without evidence against it.
    pub fn recover(&mut self, now: Uptime, held: bool) {
        self.state = State::Ramp { since: now, held };
        self.forget();
        self.recent.reset();
    }

    /// Ejects it. `jitter` in [0, 1) spreads the returns of backend servers that fail together.
    pub fn eject(&mut self, now: Uptime, jitter: f64) {
        if now.saturating_sub(self.last_eject) > CALM {
            self.flaps = 0;
        }
        self.last_eject = now;
        self.flaps += 1;
        self.tainted = self.flaps > 1;
        self.suspect = false;
        let wait = WAIT * (1 << (self.flaps - 1).min(DOUBLINGS));
        self.state = State::Ejected { until: now + wait.mul_f64(1.0 + jitter / 5.0), probe: None };
    }

    /// Trials that must succeed before a ramp: more for one that has failed again after trials.
    pub fn trials_needed(&self) -> u32 {
        1 + 2 * self.flaps.clamp(1, 4)
    }
}
