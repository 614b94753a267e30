use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context as _;
use http::HeaderMap;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanId, TraceContextExt, TraceId, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::hyper::HyperClient;
use opentelemetry_http::{HeaderExtractor, HeaderInjector};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{IdGenerator, Sampler, SdkTracerProvider};
use opentelemetry_sdk::{Resource, runtime, trace};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use settings::Traces;
use tracing::field::Empty;
use tracing::{Span, debug_span};
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::SubscriberExt;

/// Target of this project's spans. Spans of libraries are not recorded.
const TARGET: &str = "papayareel";
/// Timeout of an export to the collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Generator of trace and span ids, with a seed.
#[derive(Debug)]
struct SeededIds(Mutex<StdRng>);

impl SeededIds {
    fn draw<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }
}

impl IdGenerator for SeededIds {
    fn new_trace_id(&self) -> TraceId {
        TraceId::from(self.draw(|rng| rng.random::<u128>()))
    }

    fn new_span_id(&self) -> SpanId {
        SpanId::from(self.draw(|rng| rng.random::<u64>()))
    }
}

/// Handle to the recording of traces.
pub struct Tracing {
    provider: SdkTracerProvider,
}

impl Tracing {
    /// Exports the finished spans.
    pub async fn flush(&self) -> anyhow::Result<()> {
        let provider = self.provider.clone();
        tokio::task::spawn_blocking(move || provider.force_flush()).await??;
        Ok(())
    }

    /// Exports the finished spans and stops recording.
    pub async fn stop(self) -> anyhow::Result<()> {
        tokio::task::spawn_blocking(move || self.provider.shutdown()).await??;
        Ok(())
    }
}

/// Starts to record traces. Returns none if the settings name no collector or sample nothing.
///
/// Needs a tokio runtime, which exports the spans. `seed` is the seed of the ids. Fails if this
/// process already records traces.
pub fn start_traces(traces: &Traces, vm: &str, seed: u64) -> anyhow::Result<Option<Tracing>> {
    let Some(endpoint) = traces.endpoint.filter(|_| traces.sample_ratio > 0.0) else {
        return Ok(None);
    };
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(HyperClient::with_default_connector(EXPORT_TIMEOUT, None))
        .with_protocol(Protocol::HttpBinary)
        .with_timeout(EXPORT_TIMEOUT)
        .with_endpoint(format!("http://{endpoint}/v1/traces"))
        .build()
        .context("cannot create the trace exporter; check traces.endpoint")?;
    record_spans(exporter, traces.sample_ratio, vm, seed).map(Some)
}

/// Starts to record traces with an exporter. Needs a tokio runtime.
pub fn record_spans(
    exporter: impl trace::SpanExporter + 'static,
    sample: f64,
    vm: &str,
    seed: u64,
) -> anyhow::Result<Tracing> {
    let resource = Resource::builder_empty()
        .with_service_name("papayareel")
        .with_attribute(KeyValue::new("service.instance.id", vm.to_owned()))
        .build();
    let provider = SdkTracerProvider::builder()
        .with_span_processor(BatchSpanProcessor::builder(exporter, runtime::Tokio).build())
        .with_sampler(Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(sample))))
        .with_id_generator(SeededIds(Mutex::new(StdRng::seed_from_u64(seed))))
        .with_resource(resource)
        .build();
    let layer = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer("papayareel"))
        .with_filter(filter_fn(|meta| meta.target() == TARGET));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber)
        .context("traces are already recorded; start them once per process")?;
    Ok(Tracing { provider })
}

/// Extracts the W3C trace context from the headers; empty if there is none.
pub fn extract_context(headers: &HeaderMap) -> Context {
    TraceContextPropagator::new().extract_with_context(&Context::new(), &HeaderExtractor(headers))
}

/// Writes the span's W3C trace context into the headers. Does nothing while traces are disabled, so
/// that the caller's context passes through unchanged.
pub fn inject_context(span: &Span, headers: &mut HeaderMap) {
    if span.is_disabled() {
        return;
    }
    let context = span.context();
    if context.span().span_context().is_valid() {
        TraceContextPropagator::new().inject_context(&context, &mut HeaderInjector(headers));
    }
}

/// Span of a request from its arrival to the last byte of its response. Its parent is the span in
/// the headers. The fields `organisation`, `route` and `outcome` are recorded once known.
pub fn request_span(headers: &HeaderMap, service: &str) -> Span {
    let span = debug_span!(
        target: TARGET, parent: None, "entry",
        service, organisation = Empty, route = Empty, outcome = Empty
    );
    if !span.is_disabled() {
        let parent = extract_context(headers);
        if parent.span().span_context().is_valid() && span.set_parent(parent).is_err() {
            log::debug!("cannot set the parent of a span that has already started");
        }
    }
    span
}

/// Span of a request's wait for a slot.
pub fn queue_span(parent: &Span, organisation: &str) -> Span {
    debug_span!(target: TARGET, parent: parent, "queue", organisation)
}

/// Span of forwarding a request to another VM.
pub fn forward_span(parent: &Span, vm: &str, hops: u8) -> Span {
    debug_span!(target: TARGET, parent: parent, "forward", vm, hops)
}

/// Span of an attempt on a backend server. The field `outcome` is recorded once known.
pub fn attempt_span(parent: &Span, backend: &str, attempt: u64) -> Span {
    debug_span!(target: TARGET, parent: parent, "attempt", backend, attempt, outcome = Empty)
}

/// Span of a call to the platform. It is a trace of its own, since one call serves many requests.
pub fn platform_span(call: &str) -> Span {
    debug_span!(target: TARGET, parent: None, "platform", call, result = Empty)
}
