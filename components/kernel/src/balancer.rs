use rand::RngCore;

use crate::{BackendId, BackendSpec, HealthStatus, Place, Uptime};

/// Properties of a request that the balancer uses to choose a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickRequest<'a> {
    /// Whether the request may safely be executed more than once.
    pub idempotent: bool,
    /// Backend servers on which this request has already been attempted.
    pub tried: &'a [BackendId],
}

/// A chosen backend server with one slot reserved until [`Balancer::release`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The chosen backend server.
    pub backend: BackendId,
    /// True if the request is a trial request to a half-open or suspect backend server.
    pub trial: bool,
}

/// Chooses backend servers for one service on one VM and counts their slots in use.
pub trait Balancer: Send {
    /// Replaces the set of backend servers. Slots in use are carried over by id.
    fn set_backends(&mut self, now: Uptime, backends: &[BackendSpec], local: &Place);

    /// Reserves a slot, or returns `None` if no backend server may take this request now.
    ///
    /// `health` returns the health status of a backend server by id.
    fn pick(
        &mut self,
        now: Uptime,
        request: &PickRequest<'_>,
        health: &dyn Fn(&str) -> HealthStatus,
        rng: &mut dyn RngCore,
    ) -> Option<Pick>;

    /// Frees the slot reserved by an earlier `pick`.
    fn release(&mut self, now: Uptime, backend: &str);

    /// Returns the number of slots that may be used now and the number of slots in use.
    fn load(&self, health: &dyn Fn(&str) -> HealthStatus) -> (u32, u32);
}
