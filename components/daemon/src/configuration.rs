use std::net::SocketAddr;
use std::sync::Arc;

use config::{Delta, FleetConfig, Lookup, StoreError, replay};
use kernel::prelude::*;
use peers::Message;
use telemetry::Event;

use crate::shared::Shared;

/// Shortest time between two reads of the head. 44 VMs then make 44 of the 2,000 reads a second.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Reads of the head a second by the whole fleet; larger fleets poll more slowly.
const FLEET_READS_PER_S: f64 = 200.0;

impl Shared {
    /// Puts a configuration in force, unless its version is not above the one in force.
    pub fn install(self: &Arc<Self>, config: FleetConfig, deltas: Vec<Delta>) {
        let old = Arc::clone(&self.lookup.load().config);
        if config.version <= old.version {
            return;
        }
        let now = self.now();
        let config = Arc::new(config);
        self.lookup.store(Arc::new(Lookup::new(Arc::clone(&config))));
        for delta in deltas {
            self.recent_deltas.add(delta);
        }
        {
            let mut limiter = self.limiter();
            let known_rates = self.known_rates();
            for change in config.organisations.changes_since(&old.organisations) {
                if known_rates.contains(&**change.key) {
                    limiter.set_rate(now, change.key, change.new.map(|o| o.rate));
                }
            }
        }
        if let Some(engine) = self.engine() {
            engine.refresh();
        }
        self.update_gossiped_version();
        self.request_metrics.set_services(&config);
        telemetry::event!(CONFIG_IN_FORCE, version = config.version);
    }

    /// Tells the failure detector what to say of the configuration.
    fn update_gossiped_version(&self) {
        self.membership().set_configuration(self.config_version(), self.flags.confirmed_at());
    }

    /// Takes note of the version that another VM has.
    pub fn receive_version(
        self: &Arc<Self>,
        version: ConfigVersion,
        freshness: Option<Duration>,
        from: SocketAddr,
    ) {
        let now = self.now();
        let own = self.config_version();
        if version > own {
            self.flags.mark_behind(now);
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.fetch_newer(from).await });
        } else if version == own
            && let Some(age) = freshness
        {
            self.flags.confirm(now.saturating_sub(age));
        }
    }

    /// Fetches the deltas after the version in force from a VM, or else from the table.
    async fn fetch_newer(self: &Arc<Self>, from: SocketAddr) {
        // One fetch at a time: most VMs hear of a new version from several others at once.
        let Ok(_guard) = self.install_lock.try_lock() else {
            return;
        };
        let mut config = FleetConfig::clone(&self.lookup.load().config);
        let after = config.version;
        if let Ok(reply) = self.peers.deltas(from, after).await {
            let deltas: Vec<Delta> =
                reply.deltas.into_iter().filter(|d| replay(&mut config, d)).collect();
            if config.version >= reply.version && !deltas.is_empty() {
                self.install(config, deltas);
                self.flags.clear_behind();
                return;
            }
        }
        if let Err(error) = self.load_newest().await {
            log_read_error(&telemetry::events::CONFIG_UNREAD, &error);
        }
    }

    /// Reads the newest configuration from the table. The caller holds the `install` lock.
    async fn load_newest(self: &Arc<Self>) -> Result<(), StoreError> {
        let began = self.now();
        let held = Arc::clone(&self.lookup.load().config);
        let head = self.store.head().await;
        self.record_store_result(head.is_ok());
        let head = head?;
        if head.version > held.version {
            self.flags.mark_behind(began);
            let loaded = self.store.load(&held).await?;
            for (name, error) in &loaded.skipped {
                telemetry::event!(SNAPSHOT_DAMAGED, object = name, error = error.to_string());
            }
            self.install(loaded.config, Vec::new());
        }
        if head.version <= self.config_version() {
            self.flags.clear_behind();
        }
        // A head below the version in force is a table that was restored; it confirms nothing.
        if head.version == self.config_version() {
            self.flags.confirm(began);
            self.update_gossiped_version();
        }
        Ok(())
    }

    /// Reads the newest configuration until that succeeds once.
    pub async fn load_first_configuration(self: &Arc<Self>) {
        loop {
            let guard = self.install_lock.lock().await;
            match self.load_newest().await {
                Ok(()) => return,
                Err(error) => log_read_error(&telemetry::events::CONFIG_UNREAD, &error),
            }
            drop(guard);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Keeps the configuration up to date.
    pub async fn poll_configuration(self: &Arc<Self>) {
        loop {
            let vms = self.view.load().vms.len();
            let pause = POLL_INTERVAL.max(Duration::from_secs_f64(vms as f64 / FLEET_READS_PER_S));
            // Spread, so that VMs that started together do not read together.
            let spread = 0.75 + (self.random.next() % 512) as f64 / 1024.0;
            tokio::time::sleep(pause.mul_f64(spread)).await;
            let _guard = self.install_lock.lock().await;
            if let Err(error) = self.load_newest().await {
                log_read_error(&telemetry::events::HEAD_UNREAD, &error);
            }
        }
    }

    /// Tells every VM about the version in force.
    pub fn announce_version(self: &Arc<Self>) {
        self.broadcast(&Message::NewVersion(self.config_version()));
    }
}

/// Logs that the configuration could not be read: as `event`, unless a row makes no sense.
fn log_read_error(event: &Event, error: &StoreError) {
    let unreadable = matches!(error, StoreError::Unreadable { .. });
    let event = if unreadable { &telemetry::events::DELTA_UNREADABLE } else { event };
    telemetry::emit(event, &[("error", error.to_string().as_str().into())]);
}
