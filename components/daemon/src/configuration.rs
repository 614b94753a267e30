use std::net::SocketAddr;
use std::sync::Arc;

use config::{ConfigStoreError, Delta, FleetConfig, Lookup, replay};
use kernel::prelude::*;
use peers::Message;
use telemetry::Event;

use crate::shared::Shared;

/// Minimum interval between reads of the head row. 44 VMs then make 44 of the 2,000 reads per
/// second that the table can take.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum reads of the head row per second by the whole fleet; VMs of larger fleets poll less
/// often.
const FLEET_READS_PER_S: f64 = 200.0;

impl Shared {
    /// Puts a configuration in force if its version is higher than the one in force.
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
            engine.apply_config();
        }
        self.update_gossiped_version();
        self.request_metrics.set_services(&config);
        telemetry::event!(CONFIG_IN_FORCE, version = config.version);
    }

    /// Updates the version and confirmation time that pings carry to other VMs.
    fn update_gossiped_version(&self) {
        self.membership().set_config_version(self.config_version(), self.flags.confirmed_at());
    }

    /// Handles the configuration version that another VM reports: fetches a newer one, or confirms
    /// the version in force as of the other VM's confirmation.
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

    /// Fetches the deltas after the version in force from another VM. If that fails, reads the
    /// configuration from the table.
    async fn fetch_newer(self: &Arc<Self>, from: SocketAddr) {
        // One fetch at a time: most VMs learn of a new version from several others at once.
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

    /// Reads the newest configuration from the table. The caller must hold `install_lock`.
    async fn load_newest(self: &Arc<Self>) -> Result<(), ConfigStoreError> {
        let started = self.now();
        let local = Arc::clone(&self.lookup.load().config);
        let head = self.store.head().await;
        self.record_store_result(head.is_ok());
        let head = head?;
        if head.version > local.version {
            self.flags.mark_behind(started);
            let loaded = self.store.load(&local).await?;
            for (name, error) in &loaded.skipped_snapshots {
                telemetry::event!(SNAPSHOT_DAMAGED, object = name, error = error.to_string());
            }
            self.install(loaded.config, Vec::new());
        }
        if head.version <= self.config_version() {
            self.flags.clear_behind();
        }
        // A head below the version in force means that the table was restored to an older state, so
        // it does not confirm the version in force.
        if head.version == self.config_version() {
            self.flags.confirm(started);
            self.update_gossiped_version();
        }
        Ok(())
    }

    /// Reads the newest configuration, with retries until it succeeds.
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

    /// Polls the table for new versions.
    pub async fn poll_configuration(self: &Arc<Self>) {
        loop {
            let vms = self.view.load().vms.len();
            let interval =
                POLL_INTERVAL.max(Duration::from_secs_f64(vms as f64 / FLEET_READS_PER_S));
            // Jitter of 0.75 to 1.25, so that VMs that started together do not read together.
            let jitter = 0.75 + (self.random.next() % 512) as f64 / 1024.0;
            tokio::time::sleep(interval.mul_f64(jitter)).await;
            let _guard = self.install_lock.lock().await;
            if let Err(error) = self.load_newest().await {
                log_read_error(&telemetry::events::HEAD_UNREAD, &error);
            }
        }
    }

    /// Broadcasts the version in force.
    pub fn announce_version(self: &Arc<Self>) {
        self.broadcast(&Message::NewVersion(self.config_version()));
    }
}

/// Logs that the configuration could not be read: as `DELTA_UNREADABLE` if a row is invalid,
/// otherwise as `event`.
fn log_read_error(event: &Event, error: &ConfigStoreError) {
    let unreadable = matches!(error, ConfigStoreError::InvalidRow { .. });
    let event = if unreadable { &telemetry::events::DELTA_UNREADABLE } else { event };
    telemetry::emit(event, &[("error", error.to_string().as_str().into())]);
}
