//! Test of enabled traces, with a collector in this process.

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use settings::Traces;
use telemetry::{
    attempt_span, forward_span, inject_context, platform_span, queue_span, request_span,
    start_traces,
};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TRACE: [u8; 16] = [
    0x0a, 0xf7, 0x65, 0x19, 0x16, 0xcd, 0x43, 0xdd, 0x84, 0x48, 0xeb, 0x21, 0x1c, 0x80, 0x31, 0x9c,
];

async fn collect(listener: TcpListener, sender: mpsc::UnboundedSender<(String, Bytes)>) {
    while let Ok((stream, _)) = listener.accept().await {
        let sender = sender.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let sender = sender.clone();
            async move {
                let path = request.uri().path().to_owned();
                let body = request.into_body().collect().await.expect("body").to_bytes();
                sender.send((path, body)).expect("receiver");
                Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn has(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}

/// Guards against spans that are not exported, lose the caller's trace, or come from libraries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spans_reach_the_collector_in_the_trace_of_the_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let endpoint = listener.local_addr().ok();
    let (sender, mut received) = mpsc::unbounded_channel();
    tokio::spawn(collect(listener, sender));
    let settings = Traces { endpoint, sample_ratio: 1.0 };
    let tracing = start_traces(&settings, "vm-1", 1).expect("traces").expect("traces are on");

    let mut headers = HeaderMap::new();
    let context = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    headers.insert("traceparent", context.parse().expect("header"));
    let entry = request_span(&headers, "manus");
    drop(queue_span(&entry, "radio"));
    drop(forward_span(&entry, "vm-2", 1));
    let attempt = attempt_span(&entry, "manus-1", 1);
    inject_context(&attempt, &mut headers);
    let sent = headers["traceparent"].to_str().expect("text").to_owned();
    assert!(sent.starts_with("00-0af7651916cd43dd8448eb211c80319c-") && sent != context, "{sent}");
    drop(platform_span("commit"));
    drop(tracing::debug_span!("library"));
    drop((attempt, entry));
    tracing.stop().await.expect("spans are sent");

    let (path, body) = received.recv().await.expect("a batch of spans");
    assert_eq!(path, "/v1/traces");
    for part in [&b"entry"[..], b"queue", b"forward", b"attempt", b"platform", b"vm-1", &TRACE] {
        assert!(has(&body, part), "{part:?} was not sent");
    }
    assert!(!has(&body, b"library"));
}
