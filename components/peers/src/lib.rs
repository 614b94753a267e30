//! Versioned messages between VMs.
