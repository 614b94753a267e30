use kernel::prelude::*;
use membership::MembershipAction;

use crate::shared::Shared;

impl Shared {
    /// Logs a change in the status of another VM.
    pub fn log_vm_event(&self, action: &MembershipAction) {
        let incarnation = match action {
            MembershipAction::Send { .. } => return,
            MembershipAction::Joined { entry } => entry.incarnation,
            MembershipAction::Suspected { incarnation }
            | MembershipAction::Recovered { incarnation }
            | MembershipAction::Died { incarnation }
            | MembershipAction::Left { incarnation } => *incarnation,
        };
        let vm = self.membership().find(incarnation).map(|entry| entry.vm.clone());
        let vm = vm.unwrap_or_default();
        let incarnation = format!("{incarnation:016x}");
        match action {
            MembershipAction::Send { .. } => {}
            MembershipAction::Joined { .. } => {
                telemetry::event!(PEER_JOINED, vm = vm, incarnation = incarnation);
            }
            MembershipAction::Suspected { .. } => {
                telemetry::event!(PEER_SUSPECT, vm = vm, incarnation = incarnation);
            }
            MembershipAction::Recovered { .. } => {
                telemetry::event!(PEER_REFUTED, vm = vm, incarnation = incarnation);
            }
            MembershipAction::Died { .. } => {
                telemetry::event!(PEER_DEAD, vm = vm, incarnation = incarnation);
            }
            MembershipAction::Left { .. } => {
                telemetry::event!(PEER_LEFT, vm = vm, incarnation = incarnation);
            }
        }
    }

    /// Logs that a backend server was suspected or ejected.
    pub fn log_detection(
        &self,
        event: &telemetry::Event,
        service: &str,
        backend: &str,
        reason: kernel::EjectReason,
        after: Duration,
    ) {
        let reason = format!("{reason:?}").to_lowercase();
        let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        telemetry::emit(
            event,
            &[
                ("service", service.into()),
                ("backend", backend.into()),
                ("reason", reason.as_str().into()),
                ("after_ms", after_ms.into()),
            ],
        );
    }
}
