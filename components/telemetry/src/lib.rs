//! Numbered events, logs, traces and metrics.

mod catalogue;
mod event;
mod labels;
mod logs;
mod metrics;
mod rate_limit;
mod shares;
mod slot_times;
mod traces;

/// The numbered events.
pub mod events {
    pub use crate::catalogue::*;
}

pub use event::{Event, emit, events_table, write_event};
pub use labels::{PeerState, RequestOutcome, StoreCall, StoreResult};
pub use log;
pub use logs::{init_logs, log_dispatch};
pub use metrics::{Metrics, ServiceMetrics};
pub use rate_limit::{EventRateLimiter, RateDecision};
pub use shares::{OrganisationShare, SlotDemand, max_min, select_shares};
pub use slot_times::SlotTimes;
pub use traces::{
    Tracing, attempt_span, extract_context, forward_span, inject_context, platform_span,
    queue_span, record_spans, request_span, start_traces,
};
