use std::io;
use std::sync::{Arc, OnceLock};

use adapter::StoreRow;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use dispatch::{ConfigPatch, ConfigUpdate, compress, decompress};
use futures::StreamExt;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use crate::datagram::{BackendNotice, LimitNotice};
use crate::departures::DepartureRow;
use crate::limits::active_limits;
use crate::node::{MAX_TRANSFERS, Node};
use crate::notices::active_notices;
use crate::store_cache::StoreCache;

/// Upper bound of the time that a pull takes, at either end.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Size up to which data is sent to any number of VMs at once.
const SMALL_TRANSFER_BYTES: usize = 8 << 10;
/// Time for which a VM that needs more waits until it can be sent. Short, since it may find another
/// source meanwhile.
const PERMIT_WAIT: Duration = Duration::from_millis(250);
/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum message size, with room for the configuration and the entries of all backend servers.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Row of a backend server in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryRow {
    /// Id of the backend server.
    pub key: Box<str>,
    /// Encoded entry.
    pub value: Box<str>,
    /// Version of the row.
    pub version: u64,
}

/// Patch of a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PatchRow {
    /// Version that it starts from.
    pub from: ConfigVersion,
    /// Version that it leads to.
    pub to: ConfigVersion,
    /// Compressed difference, in base64.
    pub bytes: Box<str>,
}

/// A newer configuration, compressed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum EncodedUpdate {
    /// Patches from the version in the request on, in order.
    Patches(Vec<PatchRow>),
    /// The compressed configuration, in base64.
    Whole(Box<str>),
}

impl From<ConfigUpdate> for EncodedUpdate {
    fn from(update: ConfigUpdate) -> Self {
        let encode = |bytes: &[u8]| BASE64.encode(bytes).into();
        match update {
            ConfigUpdate::Whole(bytes) => EncodedUpdate::Whole(encode(&bytes)),
            ConfigUpdate::Patches(patches) => {
                let row =
                    |p: ConfigPatch| PatchRow { from: p.from, to: p.to, bytes: encode(&p.bytes) };
                EncodedUpdate::Patches(patches.into_iter().map(row).collect())
            }
        }
    }
}

impl TryFrom<EncodedUpdate> for ConfigUpdate {
    type Error = base64::DecodeError;

    fn try_from(update: EncodedUpdate) -> Result<Self, Self::Error> {
        Ok(match update {
            EncodedUpdate::Whole(text) => ConfigUpdate::Whole(BASE64.decode(&*text)?.into()),
            EncodedUpdate::Patches(rows) => {
                let patch = |row: PatchRow| {
                    let bytes = BASE64.decode(&*row.bytes)?.into();
                    Ok(ConfigPatch { from: row.from, to: row.to, bytes })
                };
                ConfigUpdate::Patches(rows.into_iter().map(patch).collect::<Result<_, _>>()?)
            }
        })
    }
}

/// What is newer than the versions in the request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Encoded configuration, if it is newer and the caller cannot read `update`.
    pub configuration: Option<Box<str>>,
    /// The configuration, if it is newer; none in older releases.
    #[serde(default)]
    pub update: Option<EncodedUpdate>,
    /// Whether nothing is sent because much data is being sent to other VMs already.
    #[serde(default)]
    pub busy: bool,
    /// Number of VMs that are being sent much data.
    #[serde(default)]
    pub transfers: usize,
    /// Entries of backend servers, if they are newer.
    pub rows: Option<EntryRows>,
    /// Version of the list of backend servers.
    #[serde(rename = "backends")]
    pub backends_version: u64,
    /// Time since the store confirmed the data of the sender; none in older releases.
    #[serde(default)]
    pub confirmed_ms: Option<u64>,
    /// What backend servers have said about themselves.
    #[serde(default)]
    pub notices: Vec<BackendNotice>,
    /// Request limits of backend servers; none in older releases.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Backend servers that have left lately, for a VM without a list; none in older releases.
    #[serde(default)]
    pub departures: Vec<DepartureRow>,
}

/// Entries of backend servers: the complete list, or the changes since the requested version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EntryRows {
    /// Whether this is the complete list.
    pub whole: bool,
    /// Entries, or the changed ones.
    pub rows: Vec<EntryRow>,
    /// All entries as compressed JSON in base64, in place of `rows`; none in older releases.
    #[serde(default)]
    pub packed: Option<Box<str>>,
    /// Ids of removed entries, if the list is not complete.
    pub removed: Vec<BackendId>,
    /// Checksum of the complete list.
    pub checksum: u64,
}

/// RPC service between the VMs of a fleet.
#[tarpc::service]
pub trait Sync {
    /// Returns the configuration and the backend servers if they are newer than the given versions.
    /// `compressed` says whether the caller reads compressed data; none in older releases.
    async fn knowledge(
        version: ConfigVersion,
        backends: u64,
        compressed: Option<bool>,
    ) -> SyncReply;
}

fn entry_row(row: &StoreRow) -> Option<EntryRow> {
    let value = utf8_text(row.value.as_deref()?)?;
    Some(EntryRow { key: row.key.clone(), value, version: row.version })
}

/// Rows that a VM with the list of the given version is missing.
fn rows_since(cache: &StoreCache, version: u64, compressed: bool) -> EntryRows {
    let checksum = cache.checksum;
    match cache.changes.since(version) {
        None => {
            let rows: Vec<EntryRow> = cache.rows.values().filter_map(entry_row).collect();
            let packed = if compressed { pack_rows(&rows) } else { None };
            let rows = if packed.is_some() { Vec::new() } else { rows };
            EntryRows { whole: true, rows, packed, removed: Vec::new(), checksum }
        }
        Some(keys) => {
            let (mut rows, mut removed) = (Vec::new(), Vec::new());
            for key in keys {
                match cache.rows.get(key).and_then(entry_row) {
                    Some(row) => rows.push(row),
                    None => removed.push(key.into()),
                }
            }
            EntryRows { whole: false, rows, packed: None, removed, checksum }
        }
    }
}

/// Packs rows; none if that fails, and they are sent as they are.
fn pack_rows(rows: &[EntryRow]) -> Option<Box<str>> {
    let text = serde_json::to_vec(rows).ok()?;
    Some(BASE64.encode(compress(&text, &[]).ok()?).into())
}

impl EntryRows {
    /// The rows, whichever way they were sent.
    pub fn unpack(self) -> io::Result<Vec<EntryRow>> {
        let Some(packed) = self.packed else { return Ok(self.rows) };
        let bytes = BASE64.decode(&*packed).map_err(io::Error::other)?;
        Ok(serde_json::from_slice(&decompress(&bytes, &[])?)?)
    }
}

/// Serves the calls of one connection.
#[derive(Clone)]
struct SyncServer {
    node: Arc<Node>,
    /// Held until the connection ends, since the response leaves after the call has returned.
    permit: Arc<OnceLock<OwnedSemaphorePermit>>,
}

impl SyncServer {
    /// Waits until much data can be sent; returns whether it can.
    async fn begin_transfer(&self) -> bool {
        if self.permit.get().is_some() {
            return true;
        }
        let permit = Arc::clone(&self.node.transfers).acquire_owned();
        let Ok(Ok(permit)) = timeout(PERMIT_WAIT, permit).await else { return false };
        // Calls of one connection are handled one after the other.
        self.permit.set(permit).is_ok()
    }

    fn transfers(&self) -> usize {
        MAX_TRANSFERS.saturating_sub(self.node.transfers.available_permits())
    }
}

fn utf8_text(bytes: &[u8]) -> Option<Box<str>> {
    str::from_utf8(bytes).ok().map(Into::into)
}

impl Sync for SyncServer {
    async fn knowledge(
        self,
        _: Context,
        version: ConfigVersion,
        backends: u64,
        compressed: Option<bool>,
    ) -> SyncReply {
        let node = &self.node;
        let compressed = compressed == Some(true);
        // An older release would take the refusal for a response without anything newer.
        if compressed
            && node.cache().bytes_since(version, backends) > SMALL_TRANSFER_BYTES
            && !self.begin_transfer().await
        {
            return SyncReply { busy: true, transfers: self.transfers(), ..SyncReply::default() };
        }
        let notices = active_notices(node);
        // A VM that has the list is told of changed limits by datagram.
        let limits = if backends == 0 { active_limits(node) } else { Vec::new() };
        let mut cache = node.cache();
        let update =
            if compressed { cache.configuration.since(version).ok().flatten() } else { None };
        let text = cache.configuration.text().filter(|_| cache.config_version() > version);
        let configuration = text.filter(|_| update.is_none()).as_deref().and_then(utf8_text);
        let rows =
            (cache.backends_version > backends).then(|| rows_since(&cache, backends, compressed));
        let now = node.now();
        let staleness = cache.staleness(now);
        let departures = if backends == 0 { cache.departures.encode(now) } else { Vec::new() };
        SyncReply {
            configuration,
            update: update.map(EncodedUpdate::from),
            busy: false,
            transfers: self.transfers(),
            rows,
            backends_version: cache.backends_version,
            confirmed_ms: Some(staleness.as_millis() as u64),
            notices,
            limits,
            departures,
        }
    }
}

/// Serves the [`Sync`] calls of other VMs until the process ends.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                telemetry::event!(ACCEPT_FAILED, error = error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let server = SyncServer { node: Arc::clone(&node), permit: Arc::default() };
        tokio::spawn(async move {
            let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
            let framed = codec.max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
            let transport = tarpc::serde_transport::new(framed, Json::default());
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(server.serve());
            // A caller that has left or does not read must not hold its permit.
            let _ = timeout(TRANSFER_TIMEOUT, calls.for_each(|call| call)).await;
        });
    }
}
