//! Token buckets and grants over all VMs.
