use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kernel::{ConfigVersion, Incarnation, Uptime};

/// Time without a heartbeat after which a VM is not asked any more.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time for which a VM is not asked again after a pull from it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(1500);
/// Time for which a VM is not asked again after it was busy, plus up to as much again at random.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which this VM waits for its own failure domain before it asks the leader of another
/// one. In normal operation the leaders learn of a version from the store within milliseconds.
const REMOTE_PAUSE: Duration = Duration::from_millis(300);

/// Versions of the configuration and of the list of backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DataVersions {
    /// Version of the configuration; 0 without one.
    pub config: ConfigVersion,
    /// Version of the list of backend servers; 0 without one.
    pub backends: u64,
}

impl DataVersions {
    /// Whether something here is newer than what another VM holds.
    pub fn is_newer_than(self, held: DataVersions) -> bool {
        self.config > held.config || self.backends > held.backends
    }
}

/// What another VM has announced in a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// The VM.
    pub vm: Incarnation,
    /// Its address for other VMs.
    pub address: SocketAddr,
    /// What it holds.
    pub versions: DataVersions,
    /// Whether it is in another failure domain.
    pub is_remote: bool,
}

/// A VM to pull from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PullSource {
    /// The VM.
    pub vm: Incarnation,
    /// Its address for other VMs.
    pub address: SocketAddr,
    /// What it has announced.
    pub versions: DataVersions,
    /// Number of VMs that have announced something newer than what is held here.
    pub candidates: usize,
}

/// What to do about newer versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PullDecision {
    /// Pull from a VM now.
    Pull(PullSource),
    /// Decide again at this time, or after the next announcement.
    Wait(Uptime),
    /// No VM is known to hold anything newer.
    UpToDate,
}

/// How a pull ended that did not bring what the source had announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PullFailure {
    /// No response, or an unusable one.
    Failed,
    /// The source sends much data to as many VMs as it can.
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    announcement: Announcement,
    received_at: Uptime,
    /// It is not asked before this time.
    paused_until: Uptime,
}

/// Chooses the VM from which this one pulls a newer configuration or list of backend servers.
///
/// Handles a version that reaches a failure domain through a VM with a slow link: every VM that
/// has pulled it becomes a source for the others, and a VM whose pull failed or was turned away
/// asks another source at once, without waiting for a heartbeat. If the store refuses all VMs of a
/// failure domain that read it, the leaders of the others are sources too.
#[derive(Clone, Debug, Default)]
pub struct PullSources {
    known: BTreeMap<Incarnation, Known>,
    /// Since when another VM is known to have a newer configuration.
    behind_since: Option<Uptime>,
    /// Newest configuration that any VM has announced.
    newest_config: ConfigVersion,
}

impl PullSources {
    /// Records a heartbeat of another VM. Returns whether no VM has announced its configuration, or
    /// a newer one, before.
    pub fn record(&mut self, now: Uptime, announcement: Announcement) -> bool {
        let version = announcement.versions.config;
        let is_first = version > self.newest_config;
        self.newest_config = self.newest_config.max(version);
        let paused_until = self.known.get(&announcement.vm).map_or(now, |known| known.paused_until);
        let known = Known { announcement, received_at: now, paused_until };
        self.known.insert(announcement.vm, known);
        is_first
    }

    /// Removes a VM that has stopped or was replaced.
    pub fn remove(&mut self, vm: Incarnation) {
        self.known.remove(&vm);
    }

    /// Pauses a source after a pull; `random` spreads the VMs that were turned away together.
    pub fn pause(&mut self, now: Uptime, vm: Incarnation, failure: PullFailure, random: u64) {
        let pause = match failure {
            PullFailure::Failed => FAILURE_PAUSE,
            PullFailure::Busy => BUSY_PAUSE + BUSY_PAUSE.mul_f64((random % 1024) as f64 / 1024.0),
        };
        if let Some(known) = self.known.get_mut(&vm) {
            known.paused_until = now + pause;
        }
    }

    /// Decides where to pull from, if anything newer than `held` is known; `random` chooses among
    /// equal sources.
    pub fn decide(&mut self, now: Uptime, held: DataVersions, random: u64) -> PullDecision {
        self.known.retain(|_, known| known.received_at + SOURCE_TIMEOUT > now);
        let newer = |known: &&Known| {
            let Announcement { versions, is_remote, .. } = known.announcement;
            if is_remote { versions.config > held.config } else { versions.is_newer_than(held) }
        };
        let newer: Vec<&Known> = self.known.values().filter(newer).collect();
        if !newer.iter().any(|known| known.announcement.versions.config > held.config) {
            self.behind_since = None;
        }
        if newer.is_empty() {
            return PullDecision::UpToDate;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        // A VM without a configuration cannot serve.
        let remote_from = if held.config == 0 { now } else { behind_since + REMOTE_PAUSE };
        let ready_at = |known: &Known| match known.announcement.is_remote {
            true => known.paused_until.max(remote_from),
            false => known.paused_until,
        };
        let ready: Vec<&Known> = newer.iter().copied().filter(|k| ready_at(k) <= now).collect();
        let rank = |known: &Known| {
            let Announcement { versions, is_remote, .. } = known.announcement;
            (!is_remote, versions.config, versions.backends)
        };
        let Some(best) = ready.iter().map(|known| rank(known)).max() else {
            let next = newer.iter().map(|known| ready_at(known)).min();
            return PullDecision::Wait(next.unwrap_or(now));
        };
        let equal: Vec<&&Known> = ready.iter().filter(|known| rank(known) == best).collect();
        let Announcement { vm, address, versions, .. } =
            equal[(random % equal.len() as u64) as usize].announcement;
        PullDecision::Pull(PullSource { vm, address, versions, candidates: newer.len() })
    }
}
