use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use adapter::StoreRow;
use futures::StreamExt;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;

use crate::datagram::BackendNotice;
use crate::node::Node;
use crate::notices::{active_notices, merge_notices};
use crate::store_cache::{
    StoreCache, apply_backends, apply_configuration, decode_with_checksum, record_confirmation,
};

/// Timeout for pulling the configuration and list of backend servers from another VM.
const PULL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum message size, with room for the configuration and the entries of all backend servers.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

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

/// What is newer than the versions in the request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Encoded configuration, if it is newer.
    pub configuration: Option<Box<str>>,
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
}

/// Entries of backend servers: the complete list, or the changes since the requested version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EntryRows {
    /// Whether this is the complete list.
    pub whole: bool,
    /// Entries, or the changed ones.
    pub rows: Vec<EntryRow>,
    /// Ids of removed entries, if the list is not complete.
    pub removed: Vec<BackendId>,
    /// Checksum of the complete list.
    pub checksum: u64,
}

/// RPC service between the VMs of a fleet.
#[tarpc::service]
pub trait Sync {
    /// Returns the configuration and the backend servers if they are newer than the given versions.
    async fn knowledge(version: ConfigVersion, backends: u64) -> SyncReply;
}

fn entry_row(row: &StoreRow) -> Option<EntryRow> {
    let value = utf8_text(row.value.as_deref()?)?;
    Some(EntryRow { key: row.key.clone(), value, version: row.version })
}

/// Rows that a VM with the list of the given version is missing.
fn rows_since(cache: &StoreCache, version: u64) -> EntryRows {
    let checksum = cache.checksum;
    match cache.changes.since(version) {
        None => {
            let rows = cache.rows.values().filter_map(entry_row).collect();
            EntryRows { whole: true, rows, removed: Vec::new(), checksum }
        }
        Some(keys) => {
            let (mut rows, mut removed) = (Vec::new(), Vec::new());
            for key in keys {
                match cache.rows.get(key).and_then(entry_row) {
                    Some(row) => rows.push(row),
                    None => removed.push(key.into()),
                }
            }
            EntryRows { whole: false, rows, removed, checksum }
        }
    }
}

#[derive(Clone)]
struct SyncServer(Arc<Node>);

fn utf8_text(bytes: &[u8]) -> Option<Box<str>> {
    str::from_utf8(bytes).ok().map(Into::into)
}

impl Sync for SyncServer {
    async fn knowledge(self, _: Context, version: ConfigVersion, backends: u64) -> SyncReply {
        let notices = active_notices(&self.0);
        let cache = self.0.cache();
        let newer = cache.config_version > version;
        let configuration = cache.configuration.as_deref().filter(|_| newer).and_then(utf8_text);
        let rows = (cache.backends_version > backends).then(|| rows_since(&cache, backends));
        let staleness = cache.staleness(self.0.now());
        SyncReply {
            configuration,
            rows,
            backends_version: cache.backends_version,
            confirmed_ms: Some(staleness.as_millis() as u64),
            notices,
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
        let server = SyncServer(Arc::clone(&node));
        tokio::spawn(async move {
            let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
            let framed = codec.max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
            let transport = tarpc::serde_transport::new(framed, Json::default());
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(server.serve());
            calls.for_each(|call| call).await;
        });
    }
}

async fn call_knowledge(
    address: SocketAddr,
    version: u64,
    backends_version: u64,
) -> anyhow::Result<SyncReply> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Json::default());
    let client = SyncClient::new(tarpc::client::Config::default(), transport).spawn();
    let mut call = context::current();
    call.deadline = std::time::Instant::now() + PULL_TIMEOUT;
    Ok(client.knowledge(call, version, backends_version).await?)
}

/// Requests newer data from another VM; `None` if the call fails or times out.
async fn request_newer(
    address: SocketAddr,
    version: ConfigVersion,
    backends_version: u64,
) -> Option<SyncReply> {
    let call =
        tokio::time::timeout(PULL_TIMEOUT, call_knowledge(address, version, backends_version))
            .await;
    let error = match call {
        Ok(Ok(reply)) => return Some(reply),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "the VM did not respond in time".to_owned(),
    };
    telemetry::event!(KNOWLEDGE_UNPULLED, vm = address.to_string(), error = error);
    None
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
    for EntryRow { key, value, version } in reply.rows {
        let value = Some(value.into_string().into_bytes());
        rows.insert(key.clone(), StoreRow { key, value, version });
    }
    (reply.whole || decode_with_checksum(&rows).1 == reply.checksum).then_some(rows)
}

/// Pulls newer data from another VM and applies it.
pub async fn pull_from(node: Arc<Node>, address: SocketAddr) {
    let source = address.to_string();
    let (version, backends_version) = {
        let cache = node.cache();
        (cache.config_version, cache.backends_version)
    };
    let Some(reply) = request_newer(address, version, backends_version).await else { return };
    // Before the list, so that a backend server that has left is not used in between.
    merge_notices(&node, &reply.notices);
    if let Some(text) = &reply.configuration {
        apply_configuration(&node, text.as_bytes(), &source);
    }
    if let Some(update) = reply.rows {
        let merged = {
            let cache = node.cache();
            // If another reply was applied first, these changes are relative to an older list.
            let is_current = update.whole || cache.backends_version == backends_version;
            if is_current { apply_rows(&cache.rows, update) } else { None }
        };
        match merged {
            Some(rows) => apply_backends(&node, rows, reply.backends_version, &source),
            None => pull_full_list(&node, address, version).await,
        }
    }
    if let Some(millis) = reply.confirmed_ms {
        // Of the versions that this VM had already, the sender may have older ones.
        let cache = node.cache();
        let same =
            (reply.configuration.is_some(), cache.backends_version == reply.backends_version);
        drop(cache);
        record_confirmation(&node, Duration::from_millis(millis), same.0, same.1);
    }
    telemetry::event!(KNOWLEDGE_PULLED, vm = source, backends = reply.backends_version);
}

/// Pulls the complete list of backend servers after changes that did not match the known list.
async fn pull_full_list(node: &Arc<Node>, address: SocketAddr, version: ConfigVersion) {
    let source = address.to_string();
    telemetry::event!(CHANGES_UNFIT, vm = source);
    let Some(reply) = request_newer(address, version, 0).await else { return };
    if let Some(rows) = reply.rows.and_then(|update| apply_rows(&BTreeMap::new(), update)) {
        apply_backends(node, rows, reply.backends_version, &source);
    }
}
