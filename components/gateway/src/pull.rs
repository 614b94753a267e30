use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use adapter::StoreRow;
use dispatch::{ConfigUpdate, DataVersions, PullDecision, PullFailure, PullSource};
use kernel::prelude::*;
use tarpc::context;
use tarpc::tokio_serde::formats::Json;
use tokio::time::{sleep, timeout};
use tokio_util::io::InspectReader;

use crate::limits::merge_limits;
use crate::node::Node;
use crate::notices::merge_notices;
use crate::store_cache::{
    apply_backends, apply_configuration, decode_with_checksum, record_confirmation,
};
use crate::sync::{
    EncodedUpdate, EntryRow, EntryRows, MAX_MESSAGE_BYTES, SyncClient, SyncReply, TRANSFER_TIMEOUT,
};

/// Time without a byte after which a pull fails.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pulls what other VMs hold that is newer, until the process ends.
pub async fn pull_updates(node: Arc<Node>) {
    loop {
        let held = node.cache().versions();
        let (now, random) = (node.now(), node.random());
        let decision = node.state().pull_sources.decide(now, held, random);
        match decision {
            PullDecision::Pull(source) => pull_from(&node, source).await,
            PullDecision::Wait(until) => {
                tokio::select! {
                    () = sleep(until.saturating_sub(now)) => {}
                    () = node.pull_wake.notified() => {}
                }
            }
            PullDecision::UpToDate => node.pull_wake.notified().await,
        }
    }
}

/// A call to another VM, with what is logged about it.
struct Pull<'a> {
    node: &'a Node,
    source: PullSource,
    started: Uptime,
    received_bytes: Arc<AtomicU64>,
}

impl<'a> Pull<'a> {
    fn new(node: &'a Node, source: PullSource) -> Self {
        Pull { node, source, started: node.now(), received_bytes: Arc::default() }
    }

    fn bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    fn elapsed(&self) -> Duration {
        self.node.now().saturating_sub(self.started)
    }

    async fn call(&self, held: DataVersions) -> anyhow::Result<SyncReply> {
        let stream = tokio::net::TcpStream::connect(self.source.address).await?;
        stream.set_nodelay(true)?;
        let received_bytes = Arc::clone(&self.received_bytes);
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
        let framed = codec.max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Json::default());
        let client = SyncClient::new(tarpc::client::Config::default(), transport).spawn();
        let mut call = context::current();
        call.deadline = std::time::Instant::now() + TRANSFER_TIMEOUT;
        Ok(client.knowledge(call, held.config, held.backends, Some(true)).await?)
    }

    /// Requests what is newer than `held`; `None` if the call fails or nothing more arrives.
    async fn request(&self, held: DataVersions) -> Option<SyncReply> {
        let mut call = pin!(self.call(held));
        let mut seen = 0;
        let error = loop {
            match timeout(STALL_TIMEOUT, &mut call).await {
                Ok(Ok(reply)) => return Some(reply),
                Ok(Err(error)) => break error.to_string(),
                Err(_) if self.bytes() == seen => {
                    break "the VM did not respond in time".to_owned();
                }
                Err(_) => seen = self.bytes(),
            }
        };
        telemetry::event!(
            KNOWLEDGE_UNPULLED,
            vm = self.source.address.to_string(),
            error = error,
            bytes = self.bytes(),
            took_ms = self.elapsed().as_millis() as u64,
            sources = self.source.candidates,
        );
        None
    }

    /// Applies an update, or requests and applies the whole configuration if it does not fit.
    async fn apply_update(&self, update: EncodedUpdate) {
        let address = self.source.address.to_string();
        let error = match self.try_update(update) {
            Ok(()) => return,
            Err(error) => error.to_string(),
        };
        telemetry::event!(PATCH_UNFIT, vm = address, error = error);
        // Nothing is requested of the list of backend servers.
        let nothing = DataVersions { config: 0, backends: u64::MAX };
        let Some(SyncReply { update: Some(update), .. }) = self.request(nothing).await else {
            return;
        };
        if let Err(error) = self.try_update(update) {
            telemetry::event!(PATCH_UNFIT, vm = address, error = error.to_string());
        }
    }

    fn try_update(&self, update: EncodedUpdate) -> anyhow::Result<()> {
        let update = ConfigUpdate::try_from(update)?;
        let text = self.node.cache().configuration.updated_text(&update)?;
        let patches = match &update {
            ConfigUpdate::Patches(patches) => &**patches,
            ConfigUpdate::Whole(_) => &[],
        };
        apply_configuration(self.node, &text, patches, &self.source.address.to_string());
        Ok(())
    }
}

/// Applies a reply to the known list; `None` if the result does not match the reply's checksum.
fn apply_rows(
    known: &BTreeMap<Box<str>, StoreRow>,
    reply: EntryRows,
) -> Option<BTreeMap<Box<str>, StoreRow>> {
    let mut rows = if reply.whole { BTreeMap::new() } else { known.clone() };
    for id in &reply.removed {
        rows.remove(id);
    }
    let (whole, checksum) = (reply.whole, reply.checksum);
    for EntryRow { key, value, version } in reply.unpack().ok()? {
        let value = Some(value.into_string().into_bytes());
        rows.insert(key.clone(), StoreRow { key, value, version });
    }
    (whole || decode_with_checksum(&rows).1 == checksum).then_some(rows)
}

/// Pulls newer data from another VM and applies it. The source is paused if that brought nothing.
async fn pull_from(node: &Node, source: PullSource) {
    let held = node.cache().versions();
    let failure = match pull_and_apply(node, source, held).await {
        Some(failure) => failure,
        None if node.cache().versions() == held => PullFailure::Failed,
        None => return,
    };
    let (now, random) = (node.now(), node.random());
    node.state().pull_sources.pause(now, source.vm, failure, random);
}

async fn pull_and_apply(
    node: &Node,
    source: PullSource,
    held: DataVersions,
) -> Option<PullFailure> {
    let address: SocketAddr = source.address;
    let pull = Pull::new(node, source);
    let Some(reply) = pull.request(held).await else { return Some(PullFailure::Failed) };
    if reply.busy {
        telemetry::event!(
            KNOWLEDGE_BUSY,
            vm = address.to_string(),
            transfers = reply.transfers,
            sources = source.candidates,
        );
        return Some(PullFailure::Busy);
    }
    // Before the list, so that a backend server that has left is not used in between.
    merge_notices(node, &reply.notices);
    merge_limits(node, &reply.limits, "sync");
    let now = node.now();
    node.cache().departures.merge(now, reply.departures);
    if let Some(update) = reply.update {
        // Patches do not fit if another configuration was applied meanwhile.
        if node.cache().config_version() == held.config {
            pull.apply_update(update).await;
        }
    } else if let Some(text) = &reply.configuration {
        apply_configuration(node, text.as_bytes(), &[], &address.to_string());
    }
    if let Some(update) = reply.rows {
        // If other data was applied meanwhile, these changes are relative to an older list, and those
        // that are left are requested again.
        if update.whole || node.cache().backends_version == held.backends {
            let merged = apply_rows(&node.cache().rows, update);
            match merged {
                Some(rows) => {
                    apply_backends(node, rows, reply.backends_version, &address.to_string())
                }
                None => pull_full_list(&pull).await,
            }
        }
    }
    if let Some(millis) = reply.confirmed_ms {
        // Of the versions that this VM had already, the sender may have older ones.
        let has_config = node.cache().config_version() > held.config;
        let has_backends = node.cache().backends_version == reply.backends_version;
        let age = Duration::from_millis(millis) + pull.elapsed();
        record_confirmation(node, age, has_config, has_backends);
    }
    telemetry::event!(
        KNOWLEDGE_PULLED,
        vm = address.to_string(),
        config = node.cache().config_version(),
        backends = reply.backends_version,
        bytes = pull.bytes(),
        took_ms = pull.elapsed().as_millis() as u64,
        transfers = reply.transfers,
        sources = source.candidates,
    );
    None
}

/// Pulls the complete list of backend servers after changes that did not match the known list.
async fn pull_full_list(pull: &Pull<'_>) {
    let (node, address) = (pull.node, pull.source.address.to_string());
    telemetry::event!(CHANGES_UNFIT, vm = address);
    let config = node.cache().config_version();
    let Some(reply) = pull.request(DataVersions { config, backends: 0 }).await else { return };
    if let Some(rows) = reply.rows.and_then(|update| apply_rows(&BTreeMap::new(), update)) {
        apply_backends(node, rows, reply.backends_version, &address);
    }
}
