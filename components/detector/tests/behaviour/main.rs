//! Behaviour of the detectors in virtual time.

mod evidence;
mod harness;
mod random_histories;
