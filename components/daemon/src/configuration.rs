use std::net::SocketAddr;
use std::sync::Arc;

use config::{Delta, FleetConfig, Lookup, StoreError, replay};
use kernel::prelude::*;
use peers::Message;
use telemetry::Event;

use crate::shared::Shared;

/// Shortest time between two reads of the head. 44 VMs then make 44 of the 2,000 reads a second.
const POLL: Duration = Duration::from_secs(1);
/// Reads of the head a second by the whole fleet; larger fleets poll more slowly.
const FLEET_POLLS: f64 = 200.0;

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
            self.recent.add(delta);
        }
        {
            let mut limiter = self.limiter();
            let rated = self.rated();
            for change in config.organisations.changes_since(&old.organisations) {
                if rated.contains(&**change.key) {
                    limiter.set_rate(now, change.key, change.new.map(|o| o.rate));
                }
            }
        }
        if let Some(engine) = self.engine() {
            engine.apply_config();
        }
        self.tell_membership();
        self.meters.set_services(&config);
        telemetry::event!(CONFIG_IN_FORCE, version = config.version);
    }

    /// Tells the failure detector what to say of the configuration.
    fn tell_membership(&self) {
        self.membership().set_config_version(self.version(), self.flags.confirmed());
    }

    /// Takes note of the version that another VM has.
    pub fn hear_version(
        self: &Arc<Self>,
        version: ConfigVersion,
        freshness: Option<Duration>,
        from: SocketAddr,
    ) {
        let now = self.now();
        let own = self.version();
        if version > own {
            self.flags.fall_behind(now);
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.catch_up(from).await });
        } else if version == own
            && let Some(age) = freshness
        {
            self.flags.confirm(now.saturating_sub(age));
        }
    }

    /// Fetches the deltas after the version in force from a VM, or else from the table.
    async fn catch_up(self: &Arc<Self>, from: SocketAddr) {
        // One fetch at a time: most VMs hear of a new version from several others at once.
        let Ok(_guard) = self.install.try_lock() else {
            return;
        };
        let mut config = FleetConfig::clone(&self.lookup.load().config);
        let after = config.version;
        if let Ok(reply) = self.peers.deltas(from, after).await {
            let deltas: Vec<Delta> =
                reply.deltas.into_iter().filter(|d| replay(&mut config, d)).collect();
            if config.version >= reply.version && !deltas.is_empty() {
                self.install(config, deltas);
                self.flags.catch_up();
                return;
            }
        }
        if let Err(error) = self.load_newest().await {
            note_unread(&telemetry::events::CONFIG_UNREAD, &error);
        }
    }

    /// Reads the newest configuration from the table. The caller holds the `install` lock.
    async fn load_newest(self: &Arc<Self>) -> Result<(), StoreError> {
        let began = self.now();
        let held = Arc::clone(&self.lookup.load().config);
        let head = self.store.head().await;
        self.note_store(head.is_ok());
        let head = head?;
        if head.version > held.version {
            self.flags.fall_behind(began);
            let loaded = self.store.load(&held).await?;
            for (name, error) in &loaded.skipped_snapshots {
                telemetry::event!(SNAPSHOT_DAMAGED, object = name, error = error.to_string());
            }
            self.install(loaded.config, Vec::new());
        }
        if head.version <= self.version() {
            self.flags.catch_up();
        }
        // A head below the version in force is a table that was restored; it confirms nothing.
        if head.version == self.version() {
            self.flags.confirm(began);
            self.tell_membership();
        }
        Ok(())
    }

    /// Reads the newest configuration until that succeeds once.
    pub async fn first_configuration(self: &Arc<Self>) {
        loop {
            let guard = self.install.lock().await;
            match self.load_newest().await {
                Ok(()) => return,
                Err(error) => note_unread(&telemetry::events::CONFIG_UNREAD, &error),
            }
            drop(guard);
            tokio::time::sleep(POLL).await;
        }
    }

    /// Keeps the configuration up to date.
    pub async fn poll_configuration(self: &Arc<Self>) {
        loop {
            let vms = self.view.load().vms.len();
            let pause = POLL.max(Duration::from_secs_f64(vms as f64 / FLEET_POLLS));
            // Spread, so that VMs that started together do not read together.
            let spread = 0.75 + (self.random.next() % 512) as f64 / 1024.0;
            tokio::time::sleep(pause.mul_f64(spread)).await;
            let _guard = self.install.lock().await;
            if let Err(error) = self.load_newest().await {
                note_unread(&telemetry::events::HEAD_UNREAD, &error);
            }
        }
    }

    /// Tells every VM about the version in force.
    pub fn announce_version(self: &Arc<Self>) {
        self.broadcast(&Message::NewVersion(self.version()));
    }
}

/// Logs that the configuration could not be read: as `event`, unless a row makes no sense.
fn note_unread(event: &Event, error: &StoreError) {
    let unreadable = matches!(error, StoreError::InvalidRow { .. });
    let event = if unreadable { &telemetry::events::DELTA_UNREADABLE } else { event };
    telemetry::emit(event, &[("error", error.to_string().as_str().into())]);
}
