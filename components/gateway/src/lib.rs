//! Serves callers on the platform: connections, watches of the store, messages between VMs.

mod accept;
mod answer;
mod bus;
mod datagram;
mod drain;
mod entry;
mod exchange;
mod flow;
mod knowledge;
mod listing;
mod logs;
mod metrics;
mod node;
mod options;
mod pool;
mod relay;
mod roster;
mod run;
mod send;
mod slot;
mod state;
mod sync;
mod tick;
mod watch;

pub use datagram::{
    BeatMessage, Datagram, DatagramError, DemandPart, EvidencePart, decode, encode,
};
pub use listing::Listing;
pub use options::{OPTIONS, OptionInfo, Options, options_table};
pub use run::run;
