use std::net::SocketAddr;
use std::sync::Arc;

use kernel::LimiterAction;
use kernel::prelude::*;
use membership::MembershipAction;
use peers::Message;

use crate::rights::ClaimRequest;
use crate::shared::Shared;
use crate::view::View;

/// VMs that are told of a new version at once. All of a fleet of today's size; in a larger one the
/// 16 KB/s of control would not bear more.
const MOST_TOLD: usize = 64;

impl Shared {
    /// Delivers messages to a VM without waiting. A message that is lost is not sent again: every
    /// protocol above has its own repeats.
    pub fn send(self: &Arc<Self>, to: SocketAddr, messages: Vec<Message>) {
        if messages.is_empty() {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = shared.peers.deliver(to, &messages).await {
                telemetry::event!(MESSAGES_LOST, error = error.to_string());
            }
        });
    }

    /// Sends a message to other live VMs, at most `MOST_TOLD`; pings tell the rest of a larger
    /// fleet.
    pub fn broadcast(self: &Arc<Self>, message: &Message) {
        let view = self.view.load();
        let others = view.vms.iter().filter(|vm| vm.incarnation != self.me.incarnation);
        for vm in others.take(MOST_TOLD) {
            self.send(vm.peers, vec![message.clone()]);
        }
    }

    /// Probes a backend server for another VM, which probes only after its own probe has failed.
    pub fn answer_reach(self: &Arc<Self>, to: Incarnation, service: ServiceId, backend: BackendId) {
        let lookup = self.lookup.load();
        let spec = lookup
            .config
            .services
            .get(&service)
            .and_then(|s| s.backends.iter().find(|b| b.id == backend));
        let (Some(spec), Some(vm)) = (spec, self.view.load().vm(to).cloned()) else {
            return;
        };
        let (shared, address) = (Arc::clone(self), spec.address);
        tokio::spawn(async move {
            let reachable = proxy::is_reachable(address).await;
            shared.send(vm.peers, vec![Message::Reachability(service, backend, reachable)]);
        });
    }

    /// Does what the rate limiter wants done.
    pub fn act_limiter(self: &Arc<Self>, actions: Vec<LimiterAction>) {
        let view = self.view.load();
        for action in actions {
            match action {
                LimiterAction::Send { to, message } => {
                    if let Some(vm) = view.vm(to) {
                        self.send(vm.peers, vec![Message::Limiter(message)]);
                    }
                }
                LimiterAction::Claim { organisation, units } => {
                    // The receiver lives as long as the process.
                    let _ = self.claims.send(ClaimRequest::Claim(organisation, units));
                }
                LimiterAction::Release { organisation, units } => {
                    let _ = self.claims.send(ClaimRequest::Release(organisation, units));
                }
            }
        }
    }

    /// Does what the failure detector wants done.
    pub fn act_membership(self: &Arc<Self>, actions: Vec<MembershipAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.send(to.address, vec![Message::Membership(*message)]);
                }
                other => {
                    self.note_vm(&other);
                    changed |= !matches!(
                        other,
                        MembershipAction::Suspected { .. } | MembershipAction::Recovered { .. }
                    );
                }
            }
        }
        if changed {
            self.refresh_view();
        }
    }

    /// Takes over the live VMs from the failure detector.
    pub fn refresh_view(self: &Arc<Self>) {
        let vms: Vec<_> = self.membership().live().cloned().collect();
        let incarnations: Vec<Incarnation> = vms.iter().map(|vm| vm.incarnation).collect();
        self.peers.retain(|address| vms.iter().any(|vm| vm.peers == *address));
        if let Some(engine) = self.engine() {
            engine.retain_vms(|incarnation| incarnations.contains(&incarnation));
        }
        self.view.store(Arc::new(View::new(vms)));
        self.limiter().set_vms(self.now(), &incarnations);
    }
}
