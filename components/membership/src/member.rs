use kernel::{Uptime, VmEntry};

use crate::{Peer, Status};

/// What this VM knows of another.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub entry: VmEntry,
    pub generation: u32,
    pub status: Status,
    /// Time of the status, on this VM's clock.
    pub since: Uptime,
    /// Start of its process in seconds on this VM's clock, negative if before its own start; none
    /// while only the platform's list has named it.
    pub started: Option<f64>,
    /// Last direct message from it.
    pub heard: Option<Uptime>,
}

impl Member {
    pub fn peer(&self) -> Peer {
        Peer { incarnation: self.entry.incarnation, address: self.entry.peers }
    }

    /// Whether the VM belongs to the live set.
    pub fn is_live(&self) -> bool {
        self.status <= Status::Suspect
    }
}
