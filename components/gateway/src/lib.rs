//! Serves callers on the platform: connections, watches of the store, messages between VMs.

mod admission;
mod attempt_record;
mod attempts;
mod backend_table;
mod body;
mod caller_connection;
mod caller_stream;
mod connection_progress;
mod crashes;
mod datagram;
mod departures;
mod endpoints;
mod exchange;
mod http_server;
mod limits;
mod logs;
mod messaging;
mod metrics;
mod node;
mod notices;
mod options;
mod pacing;
mod periodic;
mod placing;
mod pool;
mod possible_runs;
mod pull;
mod rates;
mod registration;
mod relay;
mod response;
mod run;
mod running_requests;
mod signals;
mod slot;
mod state;
mod store_cache;
mod store_watch;
mod sync;

pub use backend_table::BackendTable;
pub use datagram::{
    BackendEvidence, BackendNotice, CrashNotice, Datagram, DatagramError, HeartbeatMessage,
    OrganisationDemand, decode, encode,
};
pub use options::{OPTIONS, OptionInfo, Options, options_table};
pub use possible_runs::{PossibleRun, PossibleRuns};
pub use run::run;
