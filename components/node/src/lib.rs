//! Starts every part of the daemon and stops it.
