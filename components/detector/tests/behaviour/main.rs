//! Behaviour of the detectors in virtual time.

mod bench;
mod evidence;
mod stateful;
