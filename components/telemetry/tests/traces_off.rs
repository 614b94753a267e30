//! Test of disabled traces, in a binary of its own because traces start once per process.

use http::HeaderMap;
use settings::Traces;
use telemetry::{attempt_span, inject_context, request_span, start_traces};

/// Guards against work for traces that are not recorded, and a caller's context that is lost.
#[test]
fn spans_are_disabled() {
    let endpoint = Some(([127, 0, 0, 1], 9).into());
    for traces in
        [Traces { endpoint: None, sample_ratio: 1.0 }, Traces { endpoint, sample_ratio: 0.0 }]
    {
        assert!(start_traces(&traces, "vm-1", 1).expect("no traces").is_none());
    }
    let context = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut headers = HeaderMap::new();
    headers.insert("traceparent", context.parse().expect("header"));
    let entry = request_span(&headers, "manus");
    let attempt = attempt_span(&entry, "manus-1", 1);
    assert!(entry.is_disabled() && attempt.is_disabled());
    inject_context(&attempt, &mut headers);
    assert_eq!(headers["traceparent"], context);
}
