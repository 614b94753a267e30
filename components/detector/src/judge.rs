use kernel::prelude::*;
use kernel::{DetectorAction, EjectReason};
use rand::{Rng, RngCore};

use crate::evidence::Evidence;
use crate::score::{CLEARED, SUSPECT, ejects_at};
use crate::state::{State, ramp_share};
use crate::track::Track;

/// Shortest time between two probes of a service. A probe takes 25 ms of a backend server.
const PROBE_GAP: Duration = Duration::from_secs(1);
/// Time after which an unanswered probe has failed.
const PROBE_WAIT: Duration = Duration::from_secs(2);
/// Time after which an unanswered probe shows that the way is broken or the backend server hangs.
const WAY_WAIT: Duration = Duration::from_millis(500);
/// Wait before the next probe after one has failed.
const PROBE_AGAIN: Duration = Duration::from_secs(5);
/// Shortest time between the first evidence and an ejection; two pauses of 500 ms in a row.
const LEAST_SPAN: Duration = Duration::from_secs(1);
/// Age at which a failure to connect is forgotten. Without it a service whose requests must not
/// repeat, and so are no trials, would never try the backend server again.
const REFUSAL_AGE: Duration = Duration::from_secs(10);
/// Time without an answer after which the way from this VM is in doubt.
const SILENCE: Duration = Duration::from_millis(300);
/// Time for which silence or failures to connect may be a partition that no peer has reported on yet.
const PARTITION_DOUBT: Duration = Duration::from_secs(3);
/// Age of a peer's report that it reaches the backend server.
const REPORT_AGE: Duration = Duration::from_secs(5);
/// Time for which an unreachable backend server is left alone.
const UNREACHABLE_WAIT: Duration = Duration::from_secs(3);
/// Deviations of its age at which a trial has failed: 0.65 s for a median of 50 ms and a 99th
/// percentile of 250 ms.
const TRIAL_LATE: f64 = 3.7;
/// Deviations of its age at which an overtaken request is on a silent connection.
const SILENT: f64 = 4.0;
/// Later requests that must have been answered before a connection counts as silent.
const OVERTAKEN: u32 = 2;
/// Time in which a second silent connection is evidence against the backend server.
const SILENT_AGAIN: Duration = Duration::from_secs(60);

/// Re-evaluates all evidence.
pub(crate) fn judge(
    evidence: &mut Evidence,
    now: Uptime,
    rng: &mut dyn RngCore,
) -> Vec<DetectorAction> {
    let mut actions = Vec::new();
    restore_surplus(evidence, &mut actions);
    for (id, track) in &mut evidence.tracks {
        if now.saturating_sub(track.connect_last) >= REFUSAL_AGE {
            track.connect_fails = 0;
        }
        drop_silent(id, track, now, &mut actions);
        advance(id, track, now, rng, &mut actions);
        find_unreachable(track, now);
    }
    let overload = suspect(evidence, now, &mut actions);
    if !overload {
        eject(evidence, now, rng, &mut actions);
    }
    probe(evidence, now, &mut actions);
    actions
}

/// Takes the end of a probe.
pub(crate) fn end_probe(track: &mut Track, now: Uptime, healthy: bool) {
    if track.way_asked.take().is_some() {
        track.way = Some((now, healthy));
    }
    match &mut track.state {
        State::Ejected { probe: Some(_), .. } if healthy => {
            track.half_open();
        }
        State::Unreachable { probe: Some(_), .. } if healthy => track.recover(now, false),
        State::Ejected { until, probe } | State::Unreachable { until, probe } => {
            *until = now + PROBE_AGAIN;
            *probe = None;
        }
        _ => (),
    }
}

/// Gives back units above the budget: those of backend servers that already work first.
fn restore_surplus(evidence: &mut Evidence, actions: &mut Vec<DetectorAction>) {
    let mut surplus = held(evidence).saturating_sub(allowed(evidence));
    let ranks: [fn(&State) -> bool; 3] = [
        |state| matches!(state, State::Ramp { held: true, .. }),
        |state| matches!(state, State::HalfOpen { .. }),
        |state| matches!(state, State::Ejected { .. }),
    ];
    for rank in ranks {
        for (id, track) in evidence.tracks.iter_mut().filter(|(_, track)| rank(&track.state)) {
            if surplus == 0 {
                return;
            }
            surplus -= 1;
            if let State::Ramp { held, .. } = &mut track.state {
                *held = false;
            } else {
                // Its evidence still stands, so it is used last.
                track.state = State::Taking;
                track.suspect = true;
                actions
                    .push(DetectorAction::Restored { backend: id.clone(), false_positive: false });
            }
        }
    }
}

fn held(evidence: &Evidence) -> usize {
    evidence.tracks.values().filter(|track| track.state.holds_unit()).count()
}

/// Ejections that the budget allows; leaving and unreachable backend servers use it too.
fn allowed(evidence: &Evidence) -> usize {
    let used = evidence.tracks.values().filter(|track| track.state.uses_budget()).count();
    evidence.budget.saturating_sub(used)
}

/// Gives up connections that stay silent while later requests are answered.
fn drop_silent(id: &BackendId, track: &mut Track, now: Uptime, actions: &mut Vec<DetectorAction>) {
    let silent = |track: &Track| {
        track.flights.iter().find_map(|(attempt, flight)| {
            let waits = flight.answered.is_none() && !flight.dropped && flight.reused;
            let late = track.deviation(now.saturating_sub(flight.sent)) >= SILENT;
            (waits && late && flight.overtaken >= OVERTAKEN).then_some(*attempt)
        })
    };
    while let Some(attempt) = silent(track) {
        let again = track.dropped_at.is_some_and(|at| now.saturating_sub(at) < SILENT_AGAIN);
        track.dropped_at = Some(now);
        let late = track
            .flights
            .get(&attempt)
            .map(|flight| (flight.sent, track.deviation(now.saturating_sub(flight.sent))));
        if let (true, Some((sent, z))) = (again, late) {
            track.score.abandon(now, sent, z, track.alive);
        }
        if let Some(flight) = track.flights.get_mut(&attempt) {
            flight.dropped = true;
        }
        actions.push(DetectorAction::DropConnection { backend: id.clone(), attempt });
    }
}

/// Moves a backend server on its way back.
fn advance(
    id: &BackendId,
    track: &mut Track,
    now: Uptime,
    rng: &mut dyn RngCore,
    actions: &mut Vec<DetectorAction>,
) {
    match track.state {
        State::HalfOpen { passed } => {
            let late = |sent| track.deviation(now.saturating_sub(sent)) >= TRIAL_LATE;
            let stalls = track
                .flights
                .values()
                .any(|flight| flight.trial && flight.answered.is_none() && late(flight.sent));
            if stalls || track.trial_failed || track.weigh(now).0 >= SUSPECT {
                track.eject(now, rng.random());
            } else if passed >= track.trials_needed() {
                let false_positive = !track.tainted;
                track.recover(now, true);
                actions.push(DetectorAction::Restored { backend: id.clone(), false_positive });
            }
        }
        State::Ramp { since, .. } if ramp_share(now, since).is_none() => {
            track.state = State::Taking;
        }
        State::Ejected { probe: Some(sent), .. } | State::Unreachable { probe: Some(sent), .. }
            if now.saturating_sub(sent) >= PROBE_WAIT =>
        {
            end_probe(track, now, false);
        }
        _ if track.way_asked.is_some_and(|at| now.saturating_sub(at) >= WAY_WAIT) => {
            end_probe(track, now, false);
        }
        _ => (),
    }
}

/// Whether nothing has come back lately. Then the backend server may be fine and the way from
/// this VM broken.
fn is_silent(track: &Track, now: Uptime) -> bool {
    track.alive.is_none_or(|at| now.saturating_sub(at) >= SILENCE)
}

/// What a probe has shown of the way from this VM, if it ended during the silence and late
/// enough that a pause of the backend server is over.
fn known_way(track: &Track, since: Uptime) -> Option<bool> {
    let least = (since + LEAST_SPAN / 2).max(track.alive.unwrap_or_default());
    track.way.filter(|(at, _)| *at > least).map(|(_, open)| open)
}

/// Whether the way from this VM may be broken and no peer has been heard on it yet.
fn is_doubtful(track: &Track, now: Uptime, since: Uptime) -> bool {
    if track.connect_fails > 0 {
        return now.saturating_sub(track.connect_since) < PARTITION_DOUBT;
    }
    // A backend server that has gone silent is probed first.
    is_silent(track, now)
        && known_way(track, since)
            .is_none_or(|open| !open && now.saturating_sub(since) < PARTITION_DOUBT)
}

/// Finds out whether the way from this VM is broken and not the backend server.
fn find_unreachable(track: &mut Track, now: Uptime) {
    if !track.state.takes_work() && !matches!(track.state, State::Ejected { .. }) {
        return;
    }
    let refused = track.connect_fails >= 2;
    let (strength, _, begun) = track.weigh(now);
    let since = if refused { track.connect_since } else { begun };
    let broken =
        strength >= SUSPECT && is_silent(track, now) && known_way(track, since) == Some(false);
    // A report from before the first evidence says nothing about now.
    let reached =
        track.peer_reached.is_some_and(|at| at > since && now.saturating_sub(at) < REPORT_AGE);
    if reached && (refused || broken) {
        track.state = State::Unreachable { until: now + UNREACHABLE_WAIT, probe: None };
        track.suspect = false;
    }
}

/// Sets and clears suspicion. Returns true if most backend servers look bad at once: then the
/// service is overloaded, and slowness says nothing about a single one.
fn suspect(evidence: &mut Evidence, now: Uptime, actions: &mut Vec<DetectorAction>) -> bool {
    let taking = evidence.tracks.values().filter(|track| track.state.takes_work()).count();
    let bad = evidence
        .tracks
        .values()
        .filter(|track| track.state.takes_work() && track.weigh(now).0 >= SUSPECT)
        .count();
    let overload = bad * 2 > taking;
    for (id, track) in &mut evidence.tracks {
        if overload {
            track.score.forgive_slowness(now);
        }
        let (strength, reason, since) = track.weigh(now);
        if !track.state.takes_work() || strength < CLEARED {
            track.suspect = false;
        } else if strength >= SUSPECT && !track.suspect {
            track.suspect = true;
            let after = now.saturating_sub(since);
            actions.push(DetectorAction::Suspected {
                backend: id.clone(),
                reason,
                evidence_age: after,
            });
        }
    }
    overload
}

/// Ejects what the evidence and the budget allow, the strongest evidence first.
fn eject(
    evidence: &mut Evidence,
    now: Uptime,
    rng: &mut dyn RngCore,
    actions: &mut Vec<DetectorAction>,
) {
    let mut due: Vec<(f64, EjectReason, Duration, BackendId)> = Vec::new();
    for (id, track) in evidence.tracks.iter().filter(|(_, track)| track.state.takes_work()) {
        let (strength, reason, since) = track.weigh_patiently(now);
        let after = now.saturating_sub(since);
        let enough = strength >= ejects_at(reason) && after >= LEAST_SPAN;
        if enough && !is_doubtful(track, now, since) {
            due.push((strength, reason, after, id.clone()));
        }
    }
    due.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, reason, after, backend) in due {
        let free = allowed(evidence).saturating_sub(held(evidence));
        let Some(track) = evidence.tracks.get_mut(&backend) else { continue };
        // One that is on its ramp still holds its unit.
        if free == 0 && !track.state.holds_unit() {
            continue;
        }
        track.eject(now, rng.random());
        actions.push(DetectorAction::Ejected { backend, reason, evidence_age: after });
    }
}

/// Sends a probe to one backend server: one that has gone silent, or one whose wait is over.
fn probe(evidence: &mut Evidence, now: Uptime, actions: &mut Vec<DetectorAction>) {
    if evidence.last_probe.is_some_and(|at| now.saturating_sub(at) < PROBE_GAP) {
        return;
    }
    let is_due = |track: &Track| match track.state {
        State::Taking | State::Ramp { .. } => {
            let (strength, _, since) = track.weigh(now);
            let asked = track.way_asked.is_some() || known_way(track, since).is_some();
            let late = now.saturating_sub(since) > LEAST_SPAN / 2;
            strength >= SUSPECT && late && is_silent(track, now) && !asked
        }
        State::Ejected { until, probe } | State::Unreachable { until, probe } => {
            probe.is_none() && now >= until
        }
        _ => false,
    };
    let due = evidence.tracks.iter_mut().find(|(_, track)| is_due(track));
    let Some((id, track)) = due else { return };
    match &mut track.state {
        State::Ejected { probe, .. } | State::Unreachable { probe, .. } => *probe = Some(now),
        _ => track.way_asked = Some(now),
    }
    evidence.last_probe = Some(now);
    actions.push(DetectorAction::Probe { backend: id.clone() });
}
