use rand::RngCore;

use crate::{BackendId, BackendSpec, Place, Standing, Uptime};

/// What a balancer needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickRequest<'a> {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Backend servers that this request has already tried.
    pub tried: &'a [BackendId],
}

/// A backend server with one slot reserved; the slot is freed by [`Balancer::release`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The chosen backend server.
    pub backend: BackendId,
    /// True if the request is a trial of a half-open or suspect backend server.
    pub trial: bool,
}

/// Chooses backend servers for one service on one VM and counts their slots.
pub trait Balancer: Send {
    /// Replaces the set of backend servers; slots in use are kept by id.
    fn set_backends(&mut self, now: Uptime, backends: &[BackendSpec], local: &Place);

    /// Reserves a slot, or returns none if no backend server may take this request now.
    fn pick(
        &mut self,
        now: Uptime,
        request: &PickRequest<'_>,
        standing: &dyn Fn(&str) -> Standing,
        rng: &mut dyn RngCore,
    ) -> Option<Pick>;

    /// Frees the slot of an earlier pick.
    fn release(&mut self, now: Uptime, backend: &str);

    /// Slots that may take work now, and slots in use.
    fn load(&self, standing: &dyn Fn(&str) -> Standing) -> (u32, u32);
}
