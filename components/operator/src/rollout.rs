use kernel::{ConfigVersion, VmId};
use serde::Serialize;

use crate::{Status, VmLiveness};

/// How far a version has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// The version.
    pub version: ConfigVersion,
    /// Live VMs that have it, or a newer one, in force.
    pub ready: usize,
    /// Live VMs that do not.
    pub behind: Vec<VmId>,
    /// VMs that do not answer probes. They refuse keyed requests once they are cut off from the
    /// majority, so that they do not count as behind.
    pub silent: Vec<VmId>,
}

impl RolloutProgress {
    /// Judges a status. VMs that leave take no new callers and do not count.
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

    /// Whether every live VM has the version in force. A list without live VMs says nothing.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.ready > 0
    }
}
