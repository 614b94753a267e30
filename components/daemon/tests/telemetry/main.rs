//! Tests of the traces, logs and metrics of a request that two VMs in one process handle.

mod fleet;

use std::collections::BTreeSet;
use std::path::Path;

use fleet::{Fleet, KEY, Spans};
use opentelemetry_sdk::trace::SpanData;
use settings::{Log, LogFormat};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";
/// A key that no organisation has.
const WRONG_KEY: &str = "wrong-key-2c6e";

fn count(spans: &[SpanData], name: &str) -> usize {
    spans.iter().filter(|s| s.name == name).count()
}

/// Checks that every span has its parent among the spans, except the `entry` span whose parent is
/// the caller's.
fn assert_connected(spans: &[SpanData]) {
    let ids: BTreeSet<String> =
        spans.iter().map(|s| s.span_context.span_id().to_string()).collect();
    let parent = |s: &SpanData| s.parent_span_id.to_string();
    let roots: Vec<_> = spans.iter().filter(|s| parent(s) == CALLER).collect();
    assert_eq!(roots.len(), 1, "{spans:#?}");
    assert_eq!(roots[0].name, "entry");
    for span in spans.iter().filter(|s| parent(s) != CALLER) {
        assert!(ids.contains(&parent(span)), "{} has no parent span: {spans:#?}", span.name);
    }
}

/// Guards against spans lost between VMs or attempts, a trace context that does not reach the
/// backend server, requests that are counted twice or not at all, and keys in spans, logs or metrics.
#[test]
fn a_forwarded_and_retried_request_is_one_trace_without_its_key() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("daemon-telemetry.log");
    // Removes the log of an earlier run, if there is one.
    let _ = std::fs::remove_file(&path);
    let log = Log { format: LogFormat::Json, level: "trace".into(), file: Some(path.clone()) };
    telemetry::init_logs(&log).expect("logger");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let collected = Spans::default();
        let tracing = telemetry::record_spans(collected.clone(), 1.0, "test", 1)
            .expect("no other subscriber");
        let fleet = Fleet::start().await;
        let (entry, home) = fleet.entry_and_home().await;

        let context = format!("00-{TRACE}-{CALLER}-01");
        let headers = [
            ("papayareel-key", KEY),
            ("papayareel-deadline-ms", "30000"),
            ("traceparent", &context),
        ];
        let (status, body) = fleet::get(entry.listen.callers, "/scripts/1", &headers).await;
        assert_eq!((status, &*body), (200, "script"));
        let headers = [("papayareel-key", WRONG_KEY)];
        let (status, _) = fleet::get(entry.listen.callers, "/scripts/1", &headers).await;
        assert_eq!(status, 401);

        let in_trace = |s: &SpanData| s.span_context.trace_id().to_string() == TRACE;
        let spans = fleet::until("the spans of the request end", async || {
            tracing.flush().await.expect("flush");
            let spans: Vec<_> = collected.all().into_iter().filter(in_trace).collect();
            (count(&spans, "entry") == 2).then_some(spans)
        })
        .await;
        assert_eq!(count(&spans, "forward"), 1, "{spans:#?}");
        // A hedge on a slow machine makes one more attempt.
        assert!(count(&spans, "attempt") >= 2, "{spans:#?}");
        assert!(count(&spans, "queue") >= 2, "{spans:#?}");
        assert_connected(&spans);

        let seen = fleet.seen();
        assert!(seen.len() >= 2);
        let attempts: BTreeSet<String> = spans
            .iter()
            .filter(|s| s.name == "attempt")
            .map(|s| format!("00-{TRACE}-{}-01", s.span_context.span_id()))
            .collect();
        for headers in &seen {
            let context = headers["traceparent"].to_str().expect("text");
            assert!(attempts.contains(context), "{context} is not the context of an attempt");
            assert!(!headers.contains_key("papayareel-key"));
        }
        assert!(count(&collected.all(), "platform") > 0);

        let (_, at_entry) = fleet::get(entry.listen.admin, "/metrics", &[]).await;
        let (_, at_home) = fleet::get(home.listen.admin, "/metrics", &[]).await;
        let answered = r#"papayareel_requests_total{service="manus",outcome="answered"}"#;
        for (text, line) in [
            (&at_entry, format!("{answered} 1")),
            (&at_home, format!("{answered} 0")),
            (&at_entry, r#"papayareel_request_seconds_count{forwarded="no"} 1"#.to_owned()),
            (&at_home, r#"papayareel_request_seconds_count{forwarded="yes"} 1"#.to_owned()),
            (&at_home, r#"papayareel_added_seconds_count{forwarded="yes"} 1"#.to_owned()),
            (&at_entry, r#"papayareel_refusals_total{kind="key-unknown"} 1"#.to_owned()),
            (&at_entry, r#"papayareel_peers{state="alive"} 1"#.to_owned()),
            (&at_entry, "papayareel_config_version 1".to_owned()),
            (&at_entry, r#"store_calls_total{call="read",result="ok"}"#.to_owned()),
        ] {
            assert!(text.contains(&line), "{line} is not in:\n{text}");
        }
        let (status, _) = fleet::get(entry.listen.admin, "/other", &[]).await;
        assert_eq!(status, 404);

        let log = std::fs::read_to_string(&path).expect("log");
        assert!(log.contains(r#""name":"config-in-force""#), "{log}");
        let spans = format!("{:?}", collected.all());
        for (what, text) in
            [("spans", &spans), ("log", &log), ("metrics", &at_entry), ("metrics", &at_home)]
        {
            assert!(!text.contains(KEY) && !text.contains(WRONG_KEY), "a key is in the {what}");
        }
    });
    // Shutting down the runtime ends the tasks of the VMs.
    runtime.shutdown_background();
}
