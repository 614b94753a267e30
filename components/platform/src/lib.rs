//! Adapters to the platform's table, object store and list of VMs.
