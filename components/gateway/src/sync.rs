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

use crate::knowledge::{Knowledge, checked, learn_backends, learn_configuration};
use crate::node::Node;

/// Longest time for another VM to give what it knows.
const PULL: Duration = Duration::from_millis(1500);
/// Pause after a failed accept, so that a VM out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest message: the configuration and the entries of all backend servers.
const MOST_BYTES: usize = 32 << 20;

/// A row of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedRow {
    /// Id of the backend server.
    pub key: Box<str>,
    /// Entry.
    pub value: Box<str>,
    /// Version of the row.
    pub version: u64,
}

/// What a VM knows beyond what it is asked to leave out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KnowledgeReply {
    /// Text of the configuration, if it is newer.
    pub configuration: Option<Box<str>>,
    /// Entries of backend servers, if they are newer.
    pub rows: Option<ListedRows>,
    /// Version of the list of backend servers.
    pub backends: u64,
}

/// Entries of backend servers: the whole list, or what changed since the version that was named.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListedRows {
    /// Whether these are all entries.
    pub whole: bool,
    /// Entries.
    pub rows: Vec<ListedRow>,
    /// Ids that have left, if these are not all entries.
    pub removed: Vec<BackendId>,
    /// Checksum of the whole list.
    pub checksum: u64,
}

/// Calls between the VMs of a fleet.
#[tarpc::service]
pub trait Sync {
    /// Returns what is newer than a configuration and a list of backend servers.
    async fn knowledge(version: ConfigVersion, backends: u64) -> KnowledgeReply;
}

fn listed(row: &StoreRow) -> Option<ListedRow> {
    let value = text(row.value.as_deref()?)?;
    Some(ListedRow { key: row.key.clone(), value, version: row.version })
}

/// What a VM that knows the list of a version lacks.
fn listed_since(knowledge: &Knowledge, version: u64) -> ListedRows {
    let checksum = knowledge.checksum;
    match knowledge.changes.since(version) {
        None => {
            let rows = knowledge.rows.values().filter_map(listed).collect();
            ListedRows { whole: true, rows, removed: Vec::new(), checksum }
        }
        Some(keys) => {
            let (mut rows, mut removed) = (Vec::new(), Vec::new());
            for key in keys {
                match knowledge.rows.get(key).and_then(listed) {
                    Some(row) => rows.push(row),
                    None => removed.push(key.into()),
                }
            }
            ListedRows { whole: false, rows, removed, checksum }
        }
    }
}

#[derive(Clone)]
struct Server(Arc<Node>);

fn text(bytes: &[u8]) -> Option<Box<str>> {
    str::from_utf8(bytes).ok().map(Into::into)
}

impl Sync for Server {
    async fn knowledge(self, _: Context, version: ConfigVersion, backends: u64) -> KnowledgeReply {
        let knowledge = self.0.knowledge();
        let newer = knowledge.version > version;
        let configuration = knowledge.configuration.as_deref().filter(|_| newer).and_then(text);
        let rows = (knowledge.backends > backends).then(|| listed_since(&knowledge, backends));
        KnowledgeReply { configuration, rows, backends: knowledge.backends }
    }
}

/// Serves other VMs until the process ends.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                telemetry::event!(ACCEPT_FAILED, error = error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let server = Server(Arc::clone(&node));
        tokio::spawn(async move {
            let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
            let framed = codec.max_frame_length(MOST_BYTES).new_framed(stream);
            let transport = tarpc::serde_transport::new(framed, Json::default());
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(server.serve());
            calls.for_each(|call| call).await;
        });
    }
}

async fn ask(address: SocketAddr, version: u64, backends: u64) -> anyhow::Result<KnowledgeReply> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MOST_BYTES).new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Json::default());
    let client = SyncClient::new(tarpc::client::Config::default(), transport).spawn();
    let mut call = context::current();
    call.deadline = std::time::Instant::now() + PULL;
    Ok(client.knowledge(call, version, backends).await?)
}

/// Asks another VM for what it knows beyond this one; none if there is no answer.
async fn ask_in_time(
    address: SocketAddr,
    version: ConfigVersion,
    backends: u64,
) -> Option<KnowledgeReply> {
    let asked = tokio::time::timeout(PULL, ask(address, version, backends)).await;
    let error = match asked {
        Ok(Ok(reply)) => return Some(reply),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    telemetry::event!(KNOWLEDGE_UNPULLED, vm = address.to_string(), error = error);
    None
}

/// The list that a reply leads to from the one that is known; none if they do not fit together.
fn merge(
    known: &BTreeMap<Box<str>, StoreRow>,
    reply: ListedRows,
) -> Option<BTreeMap<Box<str>, StoreRow>> {
    let mut rows = if reply.whole { BTreeMap::new() } else { known.clone() };
    for id in &reply.removed {
        rows.remove(id);
    }
    for ListedRow { key, value, version } in reply.rows {
        let value = Some(value.into_string().into_bytes());
        rows.insert(key.clone(), StoreRow { key, value, version });
    }
    (reply.whole || checked(&rows).1 == reply.checksum).then_some(rows)
}

/// Takes from another VM what it knows beyond this one.
pub async fn pull(node: Arc<Node>, address: SocketAddr) {
    let source = address.to_string();
    let (version, backends) = {
        let knowledge = node.knowledge();
        (knowledge.version, knowledge.backends)
    };
    let Some(reply) = ask_in_time(address, version, backends).await else { return };
    if let Some(text) = &reply.configuration {
        learn_configuration(&node, text.as_bytes(), &source);
    }
    if let Some(listed) = reply.rows {
        let merged = {
            let knowledge = node.knowledge();
            // Another reply may have come first; the changes then start from an older list.
            let fits = listed.whole || knowledge.backends == backends;
            if fits { merge(&knowledge.rows, listed) } else { None }
        };
        match merged {
            Some(rows) => learn_backends(&node, rows, reply.backends, &source),
            None => pull_whole(&node, address, version).await,
        }
    }
    telemetry::event!(KNOWLEDGE_PULLED, vm = source, backends = reply.backends);
}

/// Takes the whole list of backend servers after changes that did not fit the known one.
async fn pull_whole(node: &Arc<Node>, address: SocketAddr, version: ConfigVersion) {
    let source = address.to_string();
    telemetry::event!(CHANGES_UNFIT, vm = source);
    let Some(reply) = ask_in_time(address, version, 0).await else { return };
    if let Some(rows) = reply.rows.and_then(|listed| merge(&BTreeMap::new(), listed)) {
        learn_backends(node, rows, reply.backends, &source);
    }
}
