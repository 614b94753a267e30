use std::sync::Arc;
use std::time::Instant;

use kernel::prelude::*;
use retry::{CrashAction, CrashGuard, CrashMessage};

use super::ServiceScheduler;
use crate::pool::Pool;

impl ServiceScheduler {
    /// Calls `act` with the crash guard, then sends the messages that the guard has pending.
    pub(crate) fn with_crash_guard<T>(&self, act: impl FnOnce(Uptime, &mut CrashGuard) -> T) -> T {
        let now = self.now();
        let (result, actions) = {
            let state = &mut *self.lock();
            let result = act(now, &mut state.crash_guard);
            (result, state.crash_guard.poll(now))
        };
        for CrashAction::Send { to, message } in actions {
            self.fleet.send_crash_message(to, &self.service, message);
        }
        result
    }

    /// Handles a message of the crash guard of another home.
    pub fn receive_crash_message(&self, from: Incarnation, message: CrashMessage) {
        self.with_crash_guard(|now, guard| guard.receive(now, from, message));
    }

    /// Determines whether a backend server crashed when a connection broke. It counts as crashed if
    /// it accepts no connection or if none of the connections opened before is still open.
    pub(crate) fn check_crash(self: &Arc<Self>, backend: &str, pool: &Arc<Pool>) {
        /// Time within which the other connections of a crashed process break as well.
        const CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(50);
        let (scheduler, pool) = (Arc::clone(self), Arc::clone(pool));
        let backend = BackendId::from(backend);
        let broken_at = Instant::now();
        let since = self.now();
        tokio::spawn(async move {
            tokio::time::sleep(CONNECTION_CLOSE_TIME).await;
            let accepts = pool.checkout(Duration::ZERO).await.is_ok();
            let alive = accepts && pool.has_connection_before(broken_at);
            scheduler.with_crash_guard(|now, guard| {
                if alive {
                    guard.mark_backend_alive(&backend, since);
                } else {
                    guard.mark_backend_crashed(now, &backend);
                }
            });
        });
    }
}
