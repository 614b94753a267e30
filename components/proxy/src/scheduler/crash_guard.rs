use std::sync::Arc;
use std::time::Instant;

use kernel::prelude::*;
use retry::{CrashAction, CrashGuard, CrashMessage};

use super::ServiceScheduler;
use crate::pool::Pool;

impl ServiceScheduler {
    /// Uses the crash guard and sends what it wants sent.
    pub(crate) fn with_guard<T>(&self, act: impl FnOnce(Uptime, &mut CrashGuard) -> T) -> T {
        let now = self.now();
        let (result, actions) = {
            let state = &mut *self.lock();
            let result = act(now, &mut state.guard);
            (result, state.guard.poll(now))
        };
        for CrashAction::Send { to, message } in actions {
            self.fleet.send_crash_message(to, &self.service, message);
        }
        result
    }

    /// Takes a message of the crash guard of another home.
    pub fn receive_crash_message(&self, from: Incarnation, message: CrashMessage) {
        self.with_guard(|now, guard| guard.receive(now, from, message));
    }

    /// Finds out whether a backend server died when a connection broke: it does not accept
    /// connections, or no connection of before has survived.
    pub(crate) fn check_death(self: &Arc<Self>, backend: &str, pool: &Arc<Pool>) {
        /// Time in which the other connections of a dead process break as well.
        const SETTLE: Duration = Duration::from_millis(50);
        let (home, pool) = (Arc::clone(self), Arc::clone(pool));
        let backend = BackendId::from(backend);
        let broke = Instant::now();
        let since = self.now();
        tokio::spawn(async move {
            tokio::time::sleep(SETTLE).await;
            let accepts = pool.checkout(Duration::ZERO).await.is_ok();
            let alive = accepts && pool.has_survivor(broke);
            home.with_guard(|now, guard| {
                if alive {
                    guard.mark_backend_alive(&backend, since);
                } else {
                    guard.mark_backend_crashed(now, &backend);
                }
            });
        });
    }
}
