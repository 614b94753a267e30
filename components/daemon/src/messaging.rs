use std::net::SocketAddr;
use std::sync::Arc;

use kernel::LimiterAction;
use kernel::prelude::*;
use membership::MembershipAction;
use peers::Message;

use crate::rights::RateRequest;
use crate::shared::Shared;
use crate::view::View;

/// Maximum number of VMs that a broadcast is sent to directly. It covers the current fleet; in a
/// larger one, more messages would exceed the 16 KB/s available for control traffic.
const MAX_BROADCAST: usize = 64;

impl Shared {
    /// Sends messages to a VM in the background. Lost messages are not sent again, because every
    /// protocol on top has its own retries.
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

    /// Sends a message to at most `MAX_BROADCAST` other live VMs. In a larger fleet the rest learn
    /// of new versions from pings.
    pub fn broadcast(self: &Arc<Self>, message: &Message) {
        let view = self.view.load();
        let others = view.vms.iter().filter(|vm| vm.incarnation != self.this_vm.incarnation);
        for vm in others.take(MAX_BROADCAST) {
            self.send(vm.peers, vec![message.clone()]);
        }
    }

    /// Checks for another VM whether this one reaches a backend server, and replies. VMs ask only
    /// after their own connection attempt has failed.
    pub fn check_reachability(
        self: &Arc<Self>,
        to: Incarnation,
        service: ServiceId,
        backend: BackendId,
    ) {
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

    /// Executes the actions of the rate limiter.
    pub fn apply_limiter_actions(self: &Arc<Self>, actions: Vec<LimiterAction>) {
        for action in actions {
            match action {
                LimiterAction::Send { to, message } => {
                    // A VM that is leaving still serves callers, and needs the tokens that it asks for.
                    let address = self.membership().find(to).map(|vm| vm.peers);
                    if let Some(address) = address {
                        self.send(address, vec![Message::Limiter(message)]);
                    }
                }
                LimiterAction::Claim { organisation, units } => {
                    // Sending cannot fail: the receiver lives as long as the process.
                    let _ = self.rate_requests.send(RateRequest::Claim(organisation, units));
                }
                LimiterAction::Release { organisation, units } => {
                    let _ = self.rate_requests.send(RateRequest::Release(organisation, units));
                }
            }
        }
    }

    /// Executes the actions of the membership protocol.
    pub fn apply_membership_actions(self: &Arc<Self>, actions: Vec<MembershipAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.send(to.address, vec![Message::Membership(*message)]);
                }
                other => {
                    self.log_vm_event(&other);
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

    /// Updates everything that depends on the set of live VMs.
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
