use kernel::{ConfigVersion, VmId};
use serde::Serialize;

use crate::{Status, VmLiveness};

/// Progress of a configuration version through the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// The version.
    pub version: ConfigVersion,
    /// Number of live VMs on which it, or a newer one, is active.
    pub ready: usize,
    /// Live VMs on which an older version is active.
    pub behind: Vec<VmId>,
    /// VMs that do not respond to probes. They do not count as behind, because they reject requests
    /// with a key once they are cut off from the majority.
    pub silent: Vec<VmId>,
}

impl RolloutProgress {
    /// Computes the progress from a status. Leaving VMs accept no new callers and do not count.
    pub fn new(status: &Status, version: ConfigVersion) -> Self {
        let mut progress = RolloutProgress { version, ready: 0, behind: vec![], silent: vec![] };
        for vm in &status.vms {
            match vm.liveness {
                VmLiveness::Live if vm.version >= version => progress.ready += 1,
                VmLiveness::Live => progress.behind.push(vm.vm.clone()),
                VmLiveness::Silent => progress.silent.push(vm.vm.clone()),
                VmLiveness::Leaving => {}
            }
        }
        progress
    }

    /// Whether the version is active on every live VM; false if no live VM is known.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.ready > 0
    }
}
