//! Tests of the metrics.

use std::time::Duration;

use kernel::{EjectReason, PlatformError, RefusalKind};
use telemetry::{
    Metrics, OrganisationShare, PeerState, RequestOutcome, SlotDemand, SlotTimes, StoreCall,
    StoreResult, max_min, select_shares,
};

fn share(organisation: &str, served_s: f64, fair_s: f64) -> OrganisationShare {
    OrganisationShare { organisation: organisation.into(), served_s, fair_s }
}

/// Guards against a metric that is not encoded, or is encoded under another name.
#[test]
fn every_metric_is_encoded() {
    let metrics = Metrics::new();
    let service = metrics.service("manus");
    service.count_request(RequestOutcome::NotRun);
    service.count_refused_within_rate();
    metrics.count_refusal(RefusalKind::RateExceeded);
    metrics.record_added_latency(Duration::from_micros(1500), true);
    metrics.record_response_time(Duration::from_millis(55), false);
    metrics.count_suspicion(EjectReason::Stalled, Duration::from_millis(900));
    metrics.count_ejection(EjectReason::Slow, Duration::from_millis(1900));
    metrics.count_restoration();
    metrics.count_false_ejection();
    metrics.set_shares(&[share("radio", 1.5, 2.0)]);
    metrics.set_config_version(42);
    metrics.set_config_age(Duration::from_millis(1500));
    metrics.set_units("rate", 12);
    metrics.set_peers(PeerState::Suspect, 3);
    let failed: Result<(), _> = Err(PlatformError::ResponseLost("".into()));
    metrics.count_store_call(StoreCall::Commit, StoreResult::from(&failed));
    let text = metrics.encode().expect("text");
    for line in [
        r#"papayareel_requests_total{service="manus",outcome="not-run"} 1"#,
        r#"papayareel_refused_within_rate_total{service="manus"} 1"#,
        r#"papayareel_refusals_total{kind="rate-exceeded"} 1"#,
        r#"papayareel_added_seconds_bucket{le="0.0016",forwarded="yes"} 1"#,
        r#"papayareel_request_seconds_bucket{le="0.064",forwarded="no"} 1"#,
        r#"papayareel_detection_seconds_bucket{le="1.0",stage="suspected",reason="stalled"} 1"#,
        r#"papayareel_detection_seconds_bucket{le="2.0",stage="ejected",reason="slow"} 1"#,
        r#"papayareel_suspicions_total{reason="stalled"} 1"#,
        "papayareel_restorations_total 1",
        r#"papayareel_ejections_total{reason="slow"} 1"#,
        "papayareel_false_ejections_total 1",
        r#"papayareel_share_served_seconds{organisation="radio"} 1.5"#,
        r#"papayareel_share_due_seconds{organisation="radio"} 2.0"#,
        "papayareel_config_version 42",
        "papayareel_config_age_seconds 1.5",
        r#"papayareel_units{kind="rate"} 12"#,
        r#"papayareel_peers{state="suspect"} 3"#,
        r#"papayareel_store_calls_total{call="commit",result="reply-lost"} 1"#,
    ] {
        assert!(text.contains(line), "{line} is not in:\n{text}");
    }
    metrics.remove_service("manus");
    assert!(!metrics.encode().expect("text").contains("manus"));
}

/// Guards against metrics that grow with the number of organisations, or omit the worst served.
#[test]
fn shares_include_the_top_and_the_worst_served() {
    let mut shares: Vec<_> = (0..1000).map(|n| share(&format!("o{n}"), 1.0, 1.0)).collect();
    shares.push(share("large", 90.0, 100.0));
    shares.push(share("starved", 0.1, 0.5));
    shares.push(share("idle", 0.0, 0.0));
    let chosen = select_shares(&shares, 1, 1);
    assert_eq!(chosen, [share("large", 90.0, 100.0), share("starved", 0.1, 0.5)]);

    let metrics = Metrics::new();
    metrics.set_shares(&shares);
    metrics.set_shares(&shares);
    let text = metrics.encode().expect("text");
    assert_eq!(text.matches("share_served_seconds{").count(), 15);
    assert!(text.contains(r#"{organisation="starved"}"#));
}

/// Guards against a fair share that ignores weights, exceeds the demand or leaves slot time unused.
#[test]
fn fair_shares_are_max_min() {
    let demand = |weight, demand_s| SlotDemand { weight, demand_s };
    let all = [demand(1.0, 1.0), demand(1.0, 10.0), demand(2.0, 10.0), demand(1.0, 0.0)];
    assert_eq!(max_min(10.0, &all), [1.0, 3.0, 6.0, 0.0]);
    assert_eq!(max_min(100.0, &all), [1.0, 10.0, 10.0, 0.0]);
    assert_eq!(max_min(0.0, &all), [0.0; 4]);
    assert!(max_min(1.0, &[]).is_empty());
}

/// Guards against an organisation that looks well served although its requests get no slot.
#[test]
fn fair_share_of_starved_organisations_exceeds_their_use() {
    let times = SlotTimes::default();
    for _ in 0..9 {
        times.record_used("manus", "greedy", Duration::from_secs(1));
        times.record_refused("manus", "starved");
    }
    times.record_used("manus", "starved", Duration::from_secs(1));
    times.record_used("rattelse", "starved", Duration::from_secs(2));
    times.record_used("manus", "", Duration::ZERO);
    let mut shares = times.end_interval(|_| 1.0);
    shares.sort_by(|a, b| a.organisation.cmp(&b.organisation));
    // On manus, the fair share of each is at most half of 10 s; rattelse met its whole demand.
    assert_eq!(shares, [share("greedy", 9.0, 5.0), share("starved", 3.0, 7.0)]);
    assert!(times.end_interval(|_| 1.0).is_empty(), "the interval was counted twice");
}
