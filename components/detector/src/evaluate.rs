use kernel::prelude::*;
use kernel::{DetectorAction, EjectReason};
use rand::{Rng, RngCore};

use crate::evidence::EvidenceDetector;
use crate::score::{CLEAR_THRESHOLD, SUSPECT_THRESHOLD, ejection_threshold};
use crate::state::{State, ramp_fraction};
use crate::tracker::BackendTracker;

/// Minimum interval between two probes of a service. A probe costs a backend server 25 ms.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unanswered probe shows that the network path is broken or the backend server
/// hangs.
const PATH_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between a failed probe and the next one.
const PROBE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Minimum time between the first evidence and an ejection, as long as two consecutive pauses of 500 ms.
const MIN_EVIDENCE_AGE: Duration = Duration::from_secs(1);
/// Age at which a failure to connect expires. A service whose requests must not be repeated sends
/// no trials, so without this it would never try the backend server again.
const CONNECT_FAILURE_MAX_AGE: Duration = Duration::from_secs(10);
/// Time without a response after which the network path from this VM is in doubt.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which silence or failures to connect may be a network partition that no other VM has
/// reported on yet.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(3);
/// Age at which another VM's report that it reaches the backend server expires.
const PEER_REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Delay before an unreachable backend server is probed.
const UNREACHABLE_DELAY: Duration = Duration::from_secs(3);
/// Age at which a trial has failed, in standard deviations: 0.65 s for a median of 50 ms and a 99th
/// percentile of 250 ms.
const TRIAL_TIMEOUT_Z: f64 = 3.7;
/// Age at which the connection of an overtaken request may count as silent, in standard deviations.
const SILENT_CONNECTION_Z: f64 = 4.0;
/// Later requests that must have been answered before a connection counts as silent.
const MIN_OVERTAKING: u32 = 2;
/// Time within which a second silent connection is evidence against the backend server.
const REPEATED_SILENCE_WINDOW: Duration = Duration::from_secs(60);

/// Evaluates the evidence of all backend servers and returns the resulting actions.
pub(crate) fn evaluate(
    detector: &mut EvidenceDetector,
    now: Uptime,
    rng: &mut dyn RngCore,
) -> Vec<DetectorAction> {
    let mut actions = Vec::new();
    restore_excess(detector, &mut actions);
    for (id, tracker) in &mut detector.trackers {
        if now.saturating_sub(tracker.last_failure) >= CONNECT_FAILURE_MAX_AGE {
            tracker.connect_failures = 0;
        }
        drop_silent_connections(id, tracker, now, &mut actions);
        advance_recovery(id, tracker, now, rng, &mut actions);
        detect_unreachable(tracker, now);
    }
    let overload = update_suspicion(detector, now, &mut actions);
    if !overload {
        eject_backends(detector, now, rng, &mut actions);
    }
    send_probe(detector, now, &mut actions);
    actions
}

/// Handles the end of a probe.
pub(crate) fn finish_probe(tracker: &mut BackendTracker, now: Uptime, healthy: bool) {
    if tracker.path_probed.take().is_some() {
        tracker.path_result = Some((now, healthy));
    }
    match &mut tracker.state {
        State::Ejected { probe_sent: Some(_), .. } if healthy => {
            tracker.enter_half_open();
        }
        State::Unreachable { probe_sent: Some(_), .. } if healthy => tracker.start_ramp(now, false),
        State::Ejected { until, probe_sent } | State::Unreachable { until, probe_sent } => {
            *until = now + PROBE_RETRY_DELAY;
            *probe_sent = None;
        }
        _ => (),
    }
}

/// Returns units that exceed the budget, first those of backend servers that already receive
/// requests.
fn restore_excess(detector: &mut EvidenceDetector, actions: &mut Vec<DetectorAction>) {
    let mut excess = count_held_units(detector).saturating_sub(allowed_ejections(detector));
    let release_order: [fn(&State) -> bool; 3] = [
        |state| matches!(state, State::Ramp { holds_unit: true, .. }),
        |state| matches!(state, State::HalfOpen { .. }),
        |state| matches!(state, State::Ejected { .. }),
    ];
    for releases in release_order {
        for (id, tracker) in
            detector.trackers.iter_mut().filter(|(_, tracker)| releases(&tracker.state))
        {
            if excess == 0 {
                return;
            }
            excess -= 1;
            if let State::Ramp { holds_unit, .. } = &mut tracker.state {
                *holds_unit = false;
            } else {
                // The evidence against it remains, so it is chosen last.
                tracker.state = State::Active;
                tracker.suspect = true;
                actions
                    .push(DetectorAction::Restored { backend: id.clone(), false_positive: false });
            }
        }
    }
}

fn count_held_units(detector: &EvidenceDetector) -> usize {
    detector.trackers.values().filter(|tracker| tracker.state.holds_unit()).count()
}

/// Number of ejections that the budget allows; draining and unreachable backend servers count
/// against it.
fn allowed_ejections(detector: &EvidenceDetector) -> usize {
    let used = detector.trackers.values().filter(|tracker| tracker.state.reduces_budget()).count();
    detector.budget.saturating_sub(used)
}

/// Drops connections that stay silent while later requests are answered.
fn drop_silent_connections(
    id: &BackendId,
    tracker: &mut BackendTracker,
    now: Uptime,
    actions: &mut Vec<DetectorAction>,
) {
    let find_silent = |tracker: &BackendTracker| {
        tracker.in_flight.iter().find_map(|(attempt, request)| {
            let waits = request.responded_at.is_none() && !request.ignored && request.reused;
            let late = tracker.deviation(now.saturating_sub(request.sent)) >= SILENT_CONNECTION_Z;
            (waits && late && request.overtaken_by >= MIN_OVERTAKING).then_some(*attempt)
        })
    };
    while let Some(attempt) = find_silent(tracker) {
        let repeated =
            tracker.last_drop.is_some_and(|at| now.saturating_sub(at) < REPEATED_SILENCE_WINDOW);
        tracker.last_drop = Some(now);
        let overdue = tracker
            .in_flight
            .get(&attempt)
            .map(|request| (request.sent, tracker.deviation(now.saturating_sub(request.sent))));
        if let (true, Some((sent, z))) = (repeated, overdue) {
            tracker.score.record_no_response(now, sent, z, tracker.last_response);
        }
        if let Some(request) = tracker.in_flight.get_mut(&attempt) {
            request.ignored = true;
        }
        actions.push(DetectorAction::DropConnection { backend: id.clone(), attempt });
    }
}

/// Advances the recovery of a backend server.
fn advance_recovery(
    id: &BackendId,
    tracker: &mut BackendTracker,
    now: Uptime,
    rng: &mut dyn RngCore,
    actions: &mut Vec<DetectorAction>,
) {
    match tracker.state {
        State::HalfOpen { trials_passed } => {
            let late = |sent| tracker.deviation(now.saturating_sub(sent)) >= TRIAL_TIMEOUT_Z;
            let stalls = tracker.in_flight.values().any(|request| {
                request.trial && request.responded_at.is_none() && late(request.sent)
            });
            if stalls
                || tracker.trial_failed
                || tracker.assess_suspicion(now).0 >= SUSPECT_THRESHOLD
            {
                tracker.eject(now, rng.random());
            } else if trials_passed >= tracker.required_trials() {
                let false_positive = !tracker.saw_evidence;
                tracker.start_ramp(now, true);
                actions.push(DetectorAction::Restored { backend: id.clone(), false_positive });
            }
        }
        State::Ramp { since, .. } if ramp_fraction(now, since).is_none() => {
            tracker.state = State::Active;
        }
        State::Ejected { probe_sent: Some(sent), .. }
        | State::Unreachable { probe_sent: Some(sent), .. }
            if now.saturating_sub(sent) >= PROBE_TIMEOUT =>
        {
            finish_probe(tracker, now, false);
        }
        _ if tracker.path_probed.is_some_and(|at| now.saturating_sub(at) >= PATH_PROBE_TIMEOUT) => {
            finish_probe(tracker, now, false);
        }
        _ => (),
    }
}

/// Whether nothing has arrived from the backend server recently. The backend server may then be
/// healthy and the network path from this VM broken.
fn is_silent(tracker: &BackendTracker, now: Uptime) -> bool {
    tracker.last_response.is_none_or(|at| now.saturating_sub(at) >= SILENCE_TIMEOUT)
}

/// Result of the last path probe, if it ended during the silence and late enough for a pause of the
/// backend server to be over.
fn path_probe_result(tracker: &BackendTracker, since: Uptime) -> Option<bool> {
    let min_end = (since + MIN_EVIDENCE_AGE / 2).max(tracker.last_response.unwrap_or_default());
    tracker.path_result.filter(|(at, _)| *at > min_end).map(|(_, answered)| answered)
}

/// Whether the network path from this VM may be broken and no other VM has reported on it yet.
fn may_be_partitioned(tracker: &BackendTracker, now: Uptime, since: Uptime) -> bool {
    if tracker.connect_failures > 0 {
        return now.saturating_sub(tracker.first_failure) < PARTITION_TIMEOUT;
    }
    // A backend server that became silent is probed first.
    is_silent(tracker, now)
        && path_probe_result(tracker, since)
            .is_none_or(|answered| !answered && now.saturating_sub(since) < PARTITION_TIMEOUT)
}

/// Detects that the network path from this VM is broken and not the backend server.
fn detect_unreachable(tracker: &mut BackendTracker, now: Uptime) {
    if !tracker.state.accepts_requests() && !matches!(tracker.state, State::Ejected { .. }) {
        return;
    }
    let refused = tracker.connect_failures >= 2;
    let (strength, _, onset) = tracker.assess_suspicion(now);
    let since = if refused { tracker.first_failure } else { onset };
    let broken = strength >= SUSPECT_THRESHOLD
        && is_silent(tracker, now)
        && path_probe_result(tracker, since) == Some(false);
    // A report from before the first evidence does not apply to it.
    let reached = tracker
        .peer_reached
        .is_some_and(|at| at > since && now.saturating_sub(at) < PEER_REPORT_MAX_AGE);
    if reached && (refused || broken) {
        tracker.state = State::Unreachable { until: now + UNREACHABLE_DELAY, probe_sent: None };
        tracker.suspect = false;
    }
}

/// Updates which backend servers are suspect. Returns true if most of them have evidence against
/// them: the service is then overloaded, and slowness is no evidence against a single backend
/// server.
fn update_suspicion(
    detector: &mut EvidenceDetector,
    now: Uptime,
    actions: &mut Vec<DetectorAction>,
) -> bool {
    let accepting =
        detector.trackers.values().filter(|tracker| tracker.state.accepts_requests()).count();
    let with_evidence = detector
        .trackers
        .values()
        .filter(|tracker| {
            tracker.state.accepts_requests() && tracker.assess_suspicion(now).0 >= SUSPECT_THRESHOLD
        })
        .count();
    let overload = with_evidence * 2 > accepting;
    for (id, tracker) in &mut detector.trackers {
        if overload {
            tracker.score.reset_slowness(now);
        }
        let (strength, reason, since) = tracker.assess_suspicion(now);
        if !tracker.state.accepts_requests() || strength < CLEAR_THRESHOLD {
            tracker.suspect = false;
        } else if strength >= SUSPECT_THRESHOLD && !tracker.suspect {
            tracker.suspect = true;
            let evidence_age = now.saturating_sub(since);
            actions.push(DetectorAction::Suspected { backend: id.clone(), reason, evidence_age });
        }
    }
    overload
}

/// Ejects backend servers as evidence and budget allow, those with the strongest evidence first.
fn eject_backends(
    detector: &mut EvidenceDetector,
    now: Uptime,
    rng: &mut dyn RngCore,
    actions: &mut Vec<DetectorAction>,
) {
    let mut due: Vec<(f64, EjectReason, Duration, BackendId)> = Vec::new();
    for (id, tracker) in
        detector.trackers.iter().filter(|(_, tracker)| tracker.state.accepts_requests())
    {
        let (strength, reason, since) = tracker.assess_ejection(now);
        let evidence_age = now.saturating_sub(since);
        let enough = strength >= ejection_threshold(reason) && evidence_age >= MIN_EVIDENCE_AGE;
        if enough && !may_be_partitioned(tracker, now, since) {
            due.push((strength, reason, evidence_age, id.clone()));
        }
    }
    due.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, reason, evidence_age, backend) in due {
        let free = allowed_ejections(detector).saturating_sub(count_held_units(detector));
        let Some(tracker) = detector.trackers.get_mut(&backend) else { continue };
        // A backend server in its ramp still holds its unit.
        if free == 0 && !tracker.state.holds_unit() {
            continue;
        }
        tracker.eject(now, rng.random());
        actions.push(DetectorAction::Ejected { backend, reason, evidence_age });
    }
}

/// Probes at most one backend server: a silent one, or one whose wait is over.
fn send_probe(detector: &mut EvidenceDetector, now: Uptime, actions: &mut Vec<DetectorAction>) {
    if detector.last_probe.is_some_and(|at| now.saturating_sub(at) < MIN_PROBE_INTERVAL) {
        return;
    }
    let is_due = |tracker: &BackendTracker| match tracker.state {
        State::Active | State::Ramp { .. } => {
            let (strength, _, since) = tracker.assess_suspicion(now);
            let probed =
                tracker.path_probed.is_some() || path_probe_result(tracker, since).is_some();
            let late = now.saturating_sub(since) > MIN_EVIDENCE_AGE / 2;
            strength >= SUSPECT_THRESHOLD && late && is_silent(tracker, now) && !probed
        }
        State::Ejected { until, probe_sent } | State::Unreachable { until, probe_sent } => {
            probe_sent.is_none() && now >= until
        }
        _ => false,
    };
    let due = detector.trackers.iter_mut().find(|(_, tracker)| is_due(tracker));
    let Some((id, tracker)) = due else { return };
    match &mut tracker.state {
        State::Ejected { probe_sent, .. } | State::Unreachable { probe_sent, .. } => {
            *probe_sent = Some(now)
        }
        _ => tracker.path_probed = Some(now),
    }
    detector.last_probe = Some(now);
    actions.push(DetectorAction::Probe { backend: id.clone() });
}
