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
    /// When this VM took over the status.
    pub changed: Uptime,
    /// Whether this VM has pinged it since it became suspect.
    pub checked: bool,
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

    /// Takes over a new status.
    pub fn set_status(&mut self, now: Uptime, status: Status) {
        self.status = status;
        (self.since, self.changed) = (now, now);
    }

    /// Whether the VM belongs to the live set.
    pub fn is_live(&self) -> bool {
        self.status <= Status::Suspect
    }
}

/// What this VM knows of an incarnation that is gone and that it never met.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burial {
    /// Last time that it was said to be gone.
    pub at: Uptime,
    pub generation: u32,
    /// `Dead` or `Left`.
    pub status: Status,
}
