use kernel::{Uptime, VmEntry};

use crate::{MemberStatus, PeerAddress};

/// State of another VM as known to this one.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub entry: VmEntry,
    pub generation: u32,
    pub status: MemberStatus,
    /// When the status was first stated by any VM, on this VM's clock.
    pub status_since: Uptime,
    /// When this VM learned the status.
    pub updated_at: Uptime,
    /// Whether this VM has pinged it since it became suspect, or chose not to.
    pub pinged: bool,
    /// Estimated start of its process on this VM's clock, negative if before the start of this VM;
    /// none while it is known from the platform's list only.
    pub started_s: Option<f64>,
    /// Time of the last direct message from it.
    pub last_heard: Option<Uptime>,
}

impl Member {
    pub fn peer(&self) -> PeerAddress {
        PeerAddress { incarnation: self.entry.incarnation, address: self.entry.peers }
    }

    /// Sets a new status, as of now.
    pub fn set_status(&mut self, now: Uptime, status: MemberStatus) {
        self.status = status;
        (self.status_since, self.updated_at) = (now, now);
    }

    /// Whether the VM belongs to the live set.
    pub fn is_live(&self) -> bool {
        self.status <= MemberStatus::Suspect
    }
}

/// Record of a dead or left incarnation that never was a member here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    /// Last update that stated it.
    pub at: Uptime,
    pub generation: u32,
    /// `Dead` or `Left`.
    pub status: MemberStatus,
}
