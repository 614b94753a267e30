use std::collections::BTreeMap;

use kernel::prelude::*;
use kernel::{AttemptId, AttemptOutcome, EjectReason};

use crate::score::{Score, score_age};
use crate::state::{State, ramp_fraction};
use crate::stats::LatencyEwma;

/// Smoothing factor of the recent mean: about the last ten responses.
const RECENT_ALPHA: f64 = 0.2;
/// Smoothing factor of the backend server's own history: about the last two hundred responses.
const HISTORY_ALPHA: f64 = 0.01;
/// Responses until a backend server is warm and `COLD_FACTOR` no longer applies.
const WARM_RESPONSES: u32 = 16;
/// Responses until a backend server no longer counts as recently cold.
const RECENTLY_COLD_RESPONSES: u32 = 64;
/// Idle time after which a backend server is cold again.
const COLD_AFTER_IDLE: Duration = Duration::from_secs(60);
/// Allowed slowdown of a cold backend server.
const COLD_FACTOR: f64 = 4.0;
/// Maximum factor by which a backend server's own history may raise its baseline above the
/// service's.
const MAX_HISTORY_FACTOR: f64 = 2.0;
/// Time after a crash that the crash guard attributes to a request. Failures to connect in this
/// time are part of the restart and no evidence.
const RESTART_GRACE: Duration = Duration::from_secs(10);
/// Time for which a backend server is chosen last after it shed a request.
const SHED_PENALTY: Duration = Duration::from_millis(200);
/// Longest pause that must not lead to an ejection.
const TOLERATED_PAUSE: Duration = Duration::from_millis(500);
/// Minimum age at which an unanswered request is evidence. Schedulers and networks delay single
/// requests of fast services by up to this time.
const MIN_STALL_AGE: Duration = Duration::from_millis(100);
/// Duration of the first ejection; it doubles with every further ejection within `STABLE_PERIOD`.
const BASE_EJECTION: Duration = Duration::from_secs(5);
/// Maximum doublings: 5 s grows to at most 320 s.
const MAX_DOUBLINGS: u32 = 6;
/// Time without an ejection after which the backoff starts over, and the age at which a backend
/// server's own history expires.
const STABLE_PERIOD: Duration = Duration::from_secs(600);
/// Time without a draining notice after which a load report may return a draining backend server to
/// service.
const DRAINING_HOLD: Duration = Duration::from_secs(60);

/// A request in flight to the backend server.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    /// When it was sent.
    pub sent: Uptime,
    /// True if its connection had carried earlier requests.
    pub reused: bool,
    /// True if the backend server was half-open when it was sent.
    pub trial: bool,
    /// When the head of the response arrived.
    pub responded_at: Option<Uptime>,
    /// Number of requests that were sent later and have been answered.
    pub overtaken_by: u32,
    /// True once it no longer counts as evidence: its connection was dropped as silent, or the
    /// evidence was reset.
    pub ignored: bool,
}

/// State of one backend server and the evidence about it.
pub(crate) struct BackendTracker {
    /// Decides what requests it receives.
    pub state: State,
    /// True while the evidence makes it suspect.
    pub suspect: bool,
    /// Evidence from ended attempts.
    pub score: Score,
    /// Requests in flight, by attempt.
    pub in_flight: BTreeMap<AttemptId, InFlightRequest>,
    /// Mean of the recent latencies.
    pub recent_latency: LatencyEwma,
    /// Failures to connect since the last response, and the times of the first and the last of
    /// them.
    pub connect_failures: u32,
    pub first_failure: Uptime,
    pub last_failure: Uptime,
    /// Time of the last response, errors included.
    pub last_response: Option<Uptime>,
    /// Time of the last report of another VM that it can reach the backend server.
    pub peer_reached: Option<Uptime>,
    /// When the outstanding probe was sent that tests the network path from this VM.
    pub path_probed: Option<Uptime>,
    /// End of the last such probe, and whether it was answered.
    pub path_result: Option<(Uptime, bool)>,
    /// Ejections since the last stable period; determines the backoff.
    pub ejections: u32,
    /// True if there was evidence against the backend server since the last ejection; otherwise the
    /// ejection was false.
    pub saw_evidence: bool,
    /// True once a trial has failed; the next evaluation ejects the backend server again.
    pub trial_failed: bool,
    /// When a silent connection was last dropped.
    pub last_drop: Option<Uptime>,
    /// Whether the configuration marks it as draining.
    pub spec_draining: bool,
    /// Mean of the latencies while it was not suspect.
    history: LatencyEwma,
    /// Expected ln(latency) that new latencies are compared with.
    expected_ln: f64,
    /// Standard deviation of ln(latency) of the service.
    stddev: f64,
    /// Responses since it was last cold.
    responses: u32,
    last_sent: Uptime,
    last_ejection: Uptime,
    shed_until: Uptime,
    restart_until: Uptime,
}

impl BackendTracker {
    /// Creates a tracker without evidence.
    pub fn new(now: Uptime, state: State) -> Self {
        BackendTracker {
            state,
            suspect: false,
            score: Score::default(),
            in_flight: BTreeMap::new(),
            recent_latency: LatencyEwma::new(RECENT_ALPHA),
            connect_failures: 0,
            first_failure: now,
            last_failure: now,
            last_response: None,
            peer_reached: None,
            path_probed: None,
            path_result: None,
            ejections: 0,
            saw_evidence: false,
            trial_failed: false,
            last_drop: None,
            spec_draining: false,
            history: LatencyEwma::new(HISTORY_ALPHA),
            expected_ln: 0.0,
            stddev: 1.0,
            responses: 0,
            last_sent: now,
            last_ejection: now,
            shed_until: Uptime::ZERO,
            restart_until: Uptime::ZERO,
        }
    }

    /// Health status that is reported to the balancer.
    pub fn health_status(&self, now: Uptime) -> HealthStatus {
        let fraction = match self.state {
            State::Ejected { .. } => return HealthStatus::Ejected,
            State::HalfOpen { .. } => return HealthStatus::HalfOpen,
            State::Unreachable { .. } => return HealthStatus::Unreachable,
            State::Draining { .. } => return HealthStatus::Draining,
            State::Active => None,
            State::Ramp { since, .. } => ramp_fraction(now, since),
        };
        if self.suspect || now < self.shed_until || self.connect_failures > 0 {
            return HealthStatus::Suspect;
        }
        fraction.map_or(HealthStatus::Healthy, HealthStatus::Ramping)
    }

    /// Whether it has had few responses since it was cold.
    pub fn is_recently_cold(&self) -> bool {
        self.responses < RECENTLY_COLD_RESPONSES
    }

    /// Sets the service's baseline. Latencies are compared with the slower of it and the backend
    /// server's own history. `peers_cold` tells that the baseline itself comes from recently cold
    /// backend servers.
    pub fn set_baseline(&mut self, now: Uptime, service: f64, stddev: f64, peers_cold: bool) {
        let own = self.history.mean(now, 20, STABLE_PERIOD).unwrap_or(service);
        let cold =
            if self.responses < WARM_RESPONSES && !peers_cold { COLD_FACTOR.ln() } else { 0.0 };
        self.expected_ln = own.clamp(service, service + MAX_HISTORY_FACTOR.ln()) + cold;
        self.stddev = stddev;
    }

    /// Deviation of a latency from the baseline, in standard deviations.
    pub fn deviation(&self, latency: Duration) -> f64 {
        (latency.as_secs_f64().max(1e-6).ln() - self.expected_ln) / self.stddev
    }

    /// Returns the evidence of unanswered requests that were sent at `min_sent` or later, and when
    /// the oldest of them was sent. `tolerance` is subtracted from their age.
    fn assess_in_flight(
        &self,
        now: Uptime,
        tolerance: Duration,
        min_sent: Uptime,
    ) -> (f64, Option<Uptime>) {
        let mut sum = (0.0, None);
        for request in self.in_flight.values() {
            let age = now.saturating_sub(request.sent).saturating_sub(tolerance);
            if request.responded_at.is_some()
                || request.ignored
                || age < MIN_STALL_AGE
                || request.sent < min_sent
            {
                continue;
            }
            let evidence = score_age(self.deviation(age));
            if evidence > 0.0 {
                sum.0 += evidence;
                sum.1 = sum.1.map_or(Some(request.sent), |at: Uptime| Some(at.min(request.sent)));
            }
        }
        sum
    }

    /// Returns the strongest evidence with its reason and onset, for the decision to suspect.
    pub fn assess_suspicion(&self, now: Uptime) -> (f64, EjectReason, Uptime) {
        let (pending, oldest) = self.assess_in_flight(now, Duration::ZERO, Uptime::ZERO);
        self.score.strongest(now, pending, oldest)
    }

    /// Returns the strongest evidence with its reason and onset, for the decision to eject. A
    /// single pause that delays all requests in flight is not counted once for each of them.
    pub fn assess_ejection(&self, now: Uptime) -> (f64, EjectReason, Uptime) {
        let (all, oldest) = self.assess_in_flight(now, TOLERATED_PAUSE, Uptime::ZERO);
        // Requests that overlap the last counted attempt may have been delayed by the same pause.
        let min_sent = self.score.stall.last_counted().unwrap_or_default();
        let later = self.assess_in_flight(now, TOLERATED_PAUSE, min_sent).0;
        let pending = later.max(all - self.score.stall.value(now));
        self.score.strongest(now, pending, oldest)
    }

    /// Records that an attempt was sent.
    pub fn record_send(&mut self, now: Uptime, attempt: AttemptId, reused: bool) {
        if now.saturating_sub(self.last_sent) > COLD_AFTER_IDLE {
            self.responses = 0;
            self.recent_latency.reset();
        }
        self.last_sent = now;
        let trial = matches!(self.state, State::HalfOpen { .. });
        let (responded_at, ignored) = (None, false);
        let request =
            InFlightRequest { sent: now, reused, trial, responded_at, overtaken_by: 0, ignored };
        self.in_flight.insert(attempt, request);
    }

    /// Records the end of an attempt. Returns ln(latency) of a complete response.
    pub fn record_end(
        &mut self,
        now: Uptime,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        request_fault: bool,
    ) -> Option<f64> {
        let request = self.in_flight.remove(&attempt);
        if outcome == AttemptOutcome::Draining {
            self.mark_draining(now);
            return None;
        }
        if request_fault {
            // The crash also ended the other requests on the backend server, before or after this
            // one, so their errors are no evidence.
            self.score.error.set(now, 0.0);
            self.restart_until = now + RESTART_GRACE;
            self.responses = 0;
            return None;
        }
        let failed = !matches!(
            outcome,
            AttemptOutcome::Success | AttemptOutcome::Shed | AttemptOutcome::Cancelled
        );
        // Only a failure to connect can end without having been recorded as sent.
        self.trial_failed |= failed && request.as_ref().is_none_or(|request| request.trial);
        let sent = request.as_ref().map_or(now, |request| request.sent);
        let ignored = request.as_ref().is_some_and(|request| request.ignored);
        let unanswered = request.as_ref().is_some_and(|request| request.responded_at.is_none());
        let z = self.deviation(now.saturating_sub(sent));
        match outcome {
            AttemptOutcome::Success => return Some(self.record_success(now, request?)),
            AttemptOutcome::ServerError => {
                self.record_response(now);
                self.record_failure(now, sent);
            }
            AttemptOutcome::Shed => {
                self.record_response(now);
                self.shed_until = now + SHED_PENALTY;
            }
            AttemptOutcome::ConnectFailed => {
                if self.connect_failures == 0 {
                    self.first_failure = now;
                }
                self.last_failure = now;
                self.connect_failures += 1;
                self.responses = 0;
                self.record_failure(now, sent);
            }
            AttemptOutcome::Reset if !ignored => self.record_failure(now, sent),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if unanswered && !ignored => {
                self.score.record_no_response(now, sent, z, self.last_response);
                self.saw_evidence |= score_age(z) > 0.0;
            }
            AttemptOutcome::TimedOut if !ignored => self.record_failure(now, sent),
            _ => (),
        }
        None
    }

    fn record_failure(&mut self, now: Uptime, sent: Uptime) {
        if now >= self.restart_until {
            self.score.record_error(now, sent);
            self.saw_evidence = true;
        }
    }

    fn record_response(&mut self, now: Uptime) {
        self.last_response = Some(now);
        self.connect_failures = 0;
    }

    fn record_success(&mut self, now: Uptime, request: InFlightRequest) -> f64 {
        let latency = request.responded_at.unwrap_or(now).saturating_sub(request.sent);
        let sample = latency.as_secs_f64().max(1e-6).ln();
        let z = self.deviation(latency);
        self.record_response(now);
        self.responses = self.responses.saturating_add(1);
        self.score.record_success(now, request.sent, z, self.stddev);
        self.recent_latency.add(now, sample);
        if !self.suspect && z < 3.0 {
            self.history.add(now, sample);
        }
        for other in self.in_flight.values_mut().filter(|other| other.sent < request.sent) {
            other.overtaken_by += 1;
        }
        if let State::HalfOpen { trials_passed } = &mut self.state {
            *trials_passed += u32::from(request.trial);
        }
        sample
    }

    /// Records a notice that the backend server is draining.
    pub fn mark_draining(&mut self, now: Uptime) {
        self.state = State::Draining { last_notice: now };
    }

    /// Records a load report without the draining flag. Load reports lag, so a draining backend
    /// server returns only some time after its last draining notice.
    pub fn clear_draining(&mut self, now: Uptime) {
        if let State::Draining { last_notice } = self.state
            && !self.spec_draining
            && now.saturating_sub(last_notice) >= DRAINING_HOLD
        {
            self.start_cold(now);
        }
    }

    /// Starts a ramp of a cold backend server.
    pub fn start_cold(&mut self, now: Uptime) {
        self.responses = 0;
        self.start_ramp(now, false);
    }

    /// Allows one trial request at a time. Requests still in flight are old evidence and no longer
    /// count.
    pub fn enter_half_open(&mut self) {
        self.saw_evidence |= self.in_flight.values().any(|request| request.responded_at.is_none());
        self.state = State::HalfOpen { trials_passed: 0 };
        self.trial_failed = false;
        self.reset_evidence();
    }

    fn reset_evidence(&mut self) {
        self.suspect = false;
        self.connect_failures = 0;
        self.score = Score::default();
        for request in self.in_flight.values_mut() {
            request.ignored = true;
        }
    }

    /// Starts a ramp and resets the evidence.
    pub fn start_ramp(&mut self, now: Uptime, holds_unit: bool) {
        self.state = State::Ramp { since: now, holds_unit };
        self.reset_evidence();
        self.recent_latency.reset();
    }

    /// Ejects the backend server. `jitter` in [0, 1) spreads the returns of backend servers that
    /// fail together.
    pub fn eject(&mut self, now: Uptime, jitter: f64) {
        if now.saturating_sub(self.last_ejection) > STABLE_PERIOD {
            self.ejections = 0;
        }
        self.last_ejection = now;
        self.ejections += 1;
        self.saw_evidence = self.ejections > 1;
        self.suspect = false;
        let wait = BASE_EJECTION * (1 << (self.ejections - 1).min(MAX_DOUBLINGS));
        self.state =
            State::Ejected { until: now + wait.mul_f64(1.0 + jitter / 5.0), probe_sent: None };
    }

    /// Successful trials that are required before the ramp: more after repeated ejections.
    pub fn required_trials(&self) -> u32 {
        1 + 2 * self.ejections.clamp(1, 4)
    }
}
