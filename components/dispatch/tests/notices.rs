//! What a VM knows of backend servers that leave or ask for a pause, against a simple oracle, with
//! lists, notices and reports of other VMs in any order, repeated and late.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dispatch::{
    Availability, BackendEntry, Backends, Coverage, Distance, MAX_PAUSE, Notice, Notices,
    Placement, PlacementRequest, PlacementWeights, place,
};
use kernel::Uptime;

/// Ids of the backend servers; each may be started twice.
const IDS: [&str; 3] = ["i-1", "i-2", "i-3"];

fn entry(id: &str, started_ms: u64, draining: bool) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        started_ms,
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 2,
        draining,
        warmup: Duration::ZERO,
    }
}

fn place_one(backends: &Backends, now: Uptime) -> Placement {
    let coverage = Coverage { min_fraction: 0.7, failure_fraction: 0.0, has_retryable: false };
    let request = PlacementRequest {
        value: 1.0,
        retryable: false,
        size_kb: 3.0,
        body_kb: 0.0,
        expected_s: 0.3,
        remaining_s: 1.5,
        tried: &[],
        coverage,
    };
    let candidates = backends.of_service("s").map(|(key, state)| (key, state, Distance::Domain));
    place(now, candidates, &request, backends.gray_duration(), &PlacementWeights::default())
}

/// What the oracle remembers of a start: whether it is leaving, and the end of its pause.
type Known = HashMap<(&'static str, u64), (bool, Uptime)>;

fn expected(known: &Known, entry: &BackendEntry, id: &'static str, now: Uptime) -> Availability {
    let (leaving, until) = known.get(&(id, entry.started_ms)).copied().unwrap_or_default();
    if entry.draining || leaving {
        Availability::Leaving
    } else if until > now {
        Availability::Paused(until)
    } else {
        Availability::Ready
    }
}

/// Guards against a server that has left or asked for a pause and comes back by an older list, a
/// late report or its return to the list.
#[test]
fn notices_hold_whatever_arrives_later() {
    fn holds(steps: Vec<(u8, u8, u8, u16)>) -> bool {
        let mut backends = Backends::default();
        let mut listed: BTreeMap<Box<str>, BackendEntry> = BTreeMap::new();
        let mut known = Known::new();
        let mut now = Duration::from_secs(5);
        for (action, id, start, millis) in steps {
            let id = IDS[usize::from(id) % IDS.len()];
            let started_ms = u64::from(start % 2) + 1;
            let pause = Duration::from_millis(millis.into());
            let notice = match start % 3 {
                0 => Notice::leaving(),
                _ => Notice::pause(now, pause),
            };
            let heard = match action % 6 {
                0 => {
                    listed.insert(id.into(), entry(id, started_ms, start % 5 == 0));
                    None
                }
                1 => {
                    listed.remove(id);
                    None
                }
                2 => {
                    now += pause / 20;
                    None
                }
                3 => {
                    // A response to this VM; only a listed server sends one.
                    let key = backends.find(id);
                    key.and_then(|key| {
                        let start = backends.get(key)?.entry.started_ms;
                        backends.record_notice(now, key, notice);
                        Some(start)
                    })
                }
                _ => {
                    let start = Notices::key(&entry(id, started_ms, false));
                    backends.merge_notice(now, start, notice);
                    Some(started_ms)
                }
            };
            if let Some(start) = heard {
                let (leaving, until) = known.entry((id, start)).or_default();
                *leaving |= notice.leaving;
                *until = (*until).max(notice.paused_until);
            }
            backends.update(now, &listed);
            for (id, key) in IDS.iter().filter_map(|id| Some((*id, backends.find(id)?))) {
                let Some(state) = backends.get(key) else { return false };
                if state.availability(now) != expected(&known, &state.entry, id, now) {
                    return false;
                }
            }
            let usable = |key| backends.get(key).map(|state| state.availability(now));
            match place_one(&backends, now) {
                Placement::Send(key) if usable(key) != Some(Availability::Ready) => return false,
                Placement::Paused(until) if until <= now => return false,
                _ => {}
            }
        }
        true
    }
    fuzz::check(60, 600, holds as fn(Vec<(u8, u8, u8, u16)>) -> bool);
}

#[test]
fn paused_servers_are_no_candidates_until_the_first_pause_ends() {
    let now = Duration::from_secs(9);
    let mut backends = Backends::default();
    let listed = IDS.iter().map(|id| ((*id).into(), entry(id, 1, false))).collect();
    backends.update(now, &listed);
    for (id, millis) in IDS.iter().zip([900, 300, 600]) {
        let key = backends.find(id).expect("it is listed");
        let notice = Notice::pause(now, Duration::from_millis(millis));
        assert!(backends.record_notice(now, key, notice).is_some(), "it is news");
        assert!(backends.record_notice(now, key, notice).is_none(), "it is known");
    }
    let first = now + Duration::from_millis(300);
    assert_eq!(place_one(&backends, now), Placement::Paused(first));
    let second = backends.find("i-2").expect("it is listed");
    assert_eq!(place_one(&backends, first), Placement::Send(second));
    backends.record_notice(first, second, Notice::leaving());
    assert_eq!(place_one(&backends, first), Placement::Paused(now + Duration::from_millis(600)));
}

#[test]
fn pause_is_bounded() {
    let now = Duration::from_secs(1);
    let notice = Notice::pause(now, Duration::MAX);
    assert_eq!(notice.availability(now), Availability::Paused(now + MAX_PAUSE));
}
