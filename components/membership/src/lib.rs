//! Failure detector of the VMs of the fleet.
