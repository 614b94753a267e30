//! Detection of gray backend servers from real requests.

mod baseline;
mod evidence;
mod judge;
mod naive;
mod score;
mod state;
mod track;

pub use evidence::Evidence;
pub use naive::Naive;
