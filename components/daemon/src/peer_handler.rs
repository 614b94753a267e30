use std::sync::Arc;

use futures::future::BoxFuture;
use kernel::prelude::*;
use kernel::{BackendEvent, LimiterMessage};
use peers::{DeltasReply, Message, PeerCalls, VmReport};

use crate::shared::Shared;

/// Handles the calls of other VMs.
pub struct PeerHandler(pub Arc<Shared>);

impl PeerCalls for PeerHandler {
    fn receive(&self, from: Incarnation, message: Message) {
        let shared = &self.0;
        let now = shared.now();
        match message {
            Message::Membership(message) => {
                let (version, freshness, address) =
                    (message.version, message.freshness, message.address);
                let actions =
                    shared.random.with(|rng| shared.membership().receive(now, from, message, rng));
                shared.apply_membership_actions(actions);
                shared.receive_version(version, freshness, address);
            }
            Message::Limiter(message) => {
                let actions = {
                    let organisation = match &message {
                        LimiterMessage::Ask { organisation, .. }
                        | LimiterMessage::Grant { organisation, .. } => organisation.clone(),
                    };
                    let mut limiter = shared.limiter_for(&organisation);
                    limiter.receive(now, from, message);
                    limiter.poll(now)
                };
                shared.apply_limiter_actions(actions);
            }
            Message::NewVersion(version) => {
                if let Some(vm) = shared.view.load().vm(from) {
                    shared.receive_version(version, None, vm.peers);
                }
            }
            Message::Crash(service, message) => {
                // Creates the home if needed: the homes in other regions wait for its reply.
                if let Some(home) = shared.engine().and_then(|e| e.scheduler(&service).ok()) {
                    home.receive_crash_message(from, message);
                }
            }
            Message::ReachabilityQuery(service, backend) => {
                shared.check_reachability(from, service, backend)
            }
            Message::Reachability(service, backend, reachable) => {
                if let Some(home) = shared.engine().and_then(|e| e.scheduler(&service).ok()) {
                    home.observe(&BackendEvent::PeerReachability { backend, reachable });
                }
            }
            Message::FreeSlots(service, free) => {
                shared.overflow().record_report(now, &service, from, free);
            }
        }
    }

    fn deltas(&self, after: ConfigVersion) -> BoxFuture<'_, DeltasReply> {
        let shared = &self.0;
        Box::pin(async move {
            DeltasReply {
                version: shared.config_version(),
                deltas: shared.recent_deltas.after(after),
            }
        })
    }

    fn report(&self) -> BoxFuture<'_, VmReport> {
        let shared = Arc::clone(&self.0);
        Box::pin(async move { shared.report().await })
    }
}
