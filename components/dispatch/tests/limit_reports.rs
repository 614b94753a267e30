//! What VMs know of a request limit while responses and reports arrive in any order.

use std::time::Duration;

use dispatch::{
    DomainView, InvalidLimit, LimitChange, LimitReport, LimitTable, Pace, PaceRight, PermitAddress,
    PermitRequests, RequestLimit,
};
use kernel::Uptime;

const KEY: (u32, u64) = (7, 5);

fn at(millis: u64) -> Uptime {
    Duration::from_millis(millis)
}

fn limit(per_second: f64) -> RequestLimit {
    RequestLimit::try_from(per_second).expect("a limit")
}

fn report(per_second: Option<f64>, sent: u64, received: u64) -> LimitReport {
    LimitReport { limit: per_second.map(limit), sent_at: at(sent), received_at: at(received) }
}

#[test]
fn numbers_that_are_no_limit_are_rejected() {
    for bad in [f64::INFINITY, f64::NEG_INFINITY, f64::NAN] {
        assert!(matches!(RequestLimit::try_from(bad), Err(InvalidLimit::NotFinite(_))), "{bad}");
    }
    assert_eq!(RequestLimit::try_from(-0.1), Err(InvalidLimit::Negative(-0.1)));
    assert_eq!(limit(1e308).per_second(), 1e6);
    assert_eq!(limit(0.0).per_second(), 0.0);
}

#[test]
fn limit_rises_falls_and_ends_with_later_responses() {
    let mut table = LimitTable::default();
    let course = [
        (report(None, 0, 100), LimitChange::Minor, None),
        (report(Some(5.0), 50, 200), LimitChange::News, Some(5.0)),
        (report(Some(5.2), 300, 400), LimitChange::Minor, Some(5.2)),
        (report(Some(8.0), 500, 600), LimitChange::News, Some(8.0)),
        // Lower limits count at once, also in the response to an older request.
        (report(Some(2.0), 100, 700), LimitChange::News, Some(2.0)),
        // A higher one, or none, counts only if its request was sent later.
        (report(Some(9.0), 650, 800), LimitChange::Outdated, Some(2.0)),
        (report(None, 690, 900), LimitChange::Outdated, Some(2.0)),
        (report(None, 710, 950), LimitChange::News, None),
        (report(Some(2.0), 600, 940), LimitChange::Outdated, None),
        (report(Some(2.0), 960, 990), LimitChange::News, Some(2.0)),
    ];
    for (report, change, expected) in course {
        assert_eq!(table.record(report.received_at, KEY, report), change, "{report:?}");
        assert_eq!(table.limit(KEY).map(RequestLimit::per_second), expected, "{report:?}");
    }
}

/// A VM that was cut off reports what it knew: neither its limit nor its end replaces newer ones.
#[test]
fn old_reports_of_other_vms_change_nothing() {
    let mut table = LimitTable::default();
    table.record(at(5000), KEY, report(Some(3.0), 4900, 5000));
    assert_eq!(table.merge(at(6000), KEY, report(Some(1.0), 900, 1000)), LimitChange::Outdated);
    assert_eq!(table.merge(at(6000), KEY, report(None, 4800, 4990)), LimitChange::Outdated);
    assert_eq!(table.limit(KEY), Some(limit(3.0)));
    table.merge(at(8000), KEY, report(None, 7000, 7100));
    assert_eq!(table.limit(KEY), None);
    // The end is remembered, so that the old limit does not come back.
    assert_eq!(table.merge(at(9000), KEY, report(Some(3.0), 4900, 5000)), LimitChange::Outdated);
    assert_eq!(table.limit(KEY), None);
    assert_eq!(table.active().count(), 0);
}

#[test]
fn each_start_of_a_server_has_its_own_limit() {
    let mut table = LimitTable::default();
    table.record(at(100), KEY, report(Some(3.0), 0, 100));
    assert_eq!(table.limit((KEY.0, KEY.1 + 1)), None);
}

#[test]
fn servers_without_a_limit_take_no_memory() {
    let mut table = LimitTable::default();
    for server in 0..1000 {
        table.record(at(100), (server, 0), report(None, 0, 100));
    }
    assert!(table.is_empty());
    table.record(at(100), KEY, report(Some(3.0), 0, 100));
    table.prune(at(100_000), |_| true);
    assert_eq!(table.len(), 1, "a listed server keeps its limit");
    table.record(at(100_200), KEY, report(None, 100_100, 100_200));
    table.prune(at(120_000), |_| true);
    assert_eq!(table.len(), 1, "the end is remembered for a while");
    table.prune(at(161_000), |_| true);
    assert!(table.is_empty());
}

#[test]
fn pace_begins_empty_and_keeps_the_limit() {
    let mut pace = Pace::new(at(0), limit(2.0));
    assert!(!pace.has_token(at(60_000)), "a VM without a right has no tokens");
    pace.set_right(at(60_000), PaceRight::Owner(1.0), 0.0);
    assert!(!pace.has_token(at(60_000)));
    assert_eq!(pace.next_token_at(at(60_000)), Some(at(60_500)));
    let mut sent = 0;
    for now in 60_000..160_000 {
        if pace.has_token(at(now)) {
            pace.take(at(now));
            sent += 1;
        }
    }
    assert!((195..=200).contains(&sent), "{sent}");
    // What is saved up is a request, or those of half a second.
    assert!(pace.has_token(at(200_000)));
    pace.take(at(200_000));
    assert!(!pace.has_token(at(200_000)));
    // Another VM may have sent meanwhile.
    pace.set_right(at(300_000), PaceRight::Permit, 0.0);
    pace.set_right(at(300_100), PaceRight::Owner(1.0), 0.0);
    assert!(!pace.has_token(at(300_100)));
}

#[test]
fn limit_of_zero_is_asked_about_from_time_to_time() {
    let mut pace = Pace::new(at(0), limit(0.0));
    pace.set_right(at(0), PaceRight::Owner(1.0), 0.0);
    let mut sent = 0;
    for now in (0..100_000).step_by(10) {
        if pace.has_token(at(now)) {
            pace.take(at(now));
            sent += 1;
        }
    }
    assert!((15..=20).contains(&sent), "{sent} in 100 s");
}

#[test]
fn lower_limit_cuts_what_was_saved_up() {
    let mut pace = Pace::new(at(0), limit(100.0));
    pace.set_right(at(0), PaceRight::Owner(1.0), 0.0);
    assert!(pace.has_token(at(5000)));
    pace.set_limit(at(5000), limit(1.0));
    pace.take(at(5000));
    assert!(!pace.has_token(at(5900)));
}

fn view() -> DomainView {
    DomainView {
        is_own: true,
        led_for: Some(at(60_000)),
        fraction: 1.0,
        silence: None,
        domains: 4,
        silent_domains: 0,
    }
}

#[test]
fn only_the_leader_of_the_failure_domain_owns_its_limits() {
    let decide = |view: DomainView| PaceRight::decide(&view);
    assert_eq!(decide(view()), PaceRight::Owner(1.0));
    assert_eq!(decide(DomainView { fraction: 0.25, ..view() }), PaceRight::Owner(0.25));
    assert_eq!(decide(DomainView { silent_domains: 2, ..view() }), PaceRight::Owner(0.75));
    assert_eq!(decide(DomainView { led_for: None, ..view() }), PaceRight::Permit);
    let other = DomainView { is_own: false, silence: Some(at(100)), ..view() };
    assert_eq!(decide(other), PaceRight::Permit);
    let silent = DomainView { silence: Some(at(5000)), ..other };
    assert_eq!(decide(silent), PaceRight::Orphan(0.125));
    assert_eq!(decide(DomainView { silence: None, ..silent }), PaceRight::Orphan(0.125));
    // It has not led for long enough to hear of the other leader, or does not lead.
    let new = DomainView { led_for: Some(at(1000)), silence: None, ..silent };
    assert_eq!(decide(new), PaceRight::Permit);
    assert_eq!(decide(DomainView { led_for: None, ..silent }), PaceRight::Permit);
}

#[test]
fn requests_for_permits_replace_each_other_and_expire() {
    let mut requests = PermitRequests::default();
    let address = "127.0.0.1:9".parse().expect("an address");
    let reply = PermitAddress { address, stamp_ms: 4 };
    let waiting = [(1, at(2000)), (0, at(3000))];
    requests.record(at(0), "s".into(), 1, reply, waiting.into_iter());
    requests.record(at(100), "s".into(), 1, reply, waiting.into_iter());
    requests.record(at(100), "t".into(), 2, reply, waiting.into_iter().take(1));
    assert_eq!(requests.waiting(at(200), "s").len(), 2);
    assert_eq!(requests.services(at(200)).len(), 2);
    assert_eq!(requests.grant(&"s".into(), 1), Some(reply));
    let left = requests.waiting(at(200), "s");
    assert_eq!(left.iter().map(|waiter| waiter.priority).collect::<Vec<_>>(), [1]);
    assert!(requests.waiting(at(451), "s").is_empty(), "an old one counts no more");
    assert_eq!(requests.grant(&"s".into(), 3), None);
    // Many waiting requests of one VM are not held.
    let many = (0..1000).map(|n| (1, at(5000 + n)));
    requests.record(at(500), "s".into(), 1, reply, many);
    assert_eq!(requests.waiting(at(500), "s").len(), 32);
    requests.record(at(510), "s".into(), 1, reply, [].into_iter());
    assert!(requests.waiting(at(510), "s").is_empty());
}
