//! JSON settings, checked in one pass.
