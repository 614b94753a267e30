//! Detection of gray backend servers from real requests.

mod evaluate;
mod evidence;
mod naive;
mod score;
mod state;
mod stats;
mod tracker;

pub use evidence::EvidenceDetector;
pub use naive::NaiveDetector;
