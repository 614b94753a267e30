//! Numbered events, logs, traces and metrics.
