use std::net::SocketAddr;
use std::sync::Arc;

use adapter::RawRow;
use futures::StreamExt;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;

use crate::knowledge::{learn_backends, learn_configuration};
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
    pub rows: Option<Vec<ListedRow>>,
    /// Store version of the entries.
    pub backends: u64,
}

/// Calls between the VMs of a fleet.
#[tarpc::service]
pub trait Sync {
    /// Returns what is newer than a configuration and a list of backend servers.
    async fn knowledge(version: Version, backends: u64) -> KnowledgeReply;
}

#[derive(Clone)]
struct Server(Arc<Node>);

fn text(bytes: &[u8]) -> Option<Box<str>> {
    str::from_utf8(bytes).ok().map(Into::into)
}

impl Sync for Server {
    async fn knowledge(self, _: Context, version: Version, backends: u64) -> KnowledgeReply {
        let knowledge = self.0.knowledge();
        let newer = knowledge.version > version;
        let configuration = knowledge.configuration.as_deref().filter(|_| newer).and_then(text);
        let listed = |row: &RawRow| {
            let value = text(row.value.as_deref()?)?;
            Some(ListedRow { key: row.key.clone(), value, version: row.version })
        };
        let rows = (knowledge.backends > backends)
            .then(|| knowledge.rows.values().filter_map(listed).collect());
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

/// Takes from another VM what it knows beyond this one.
pub async fn pull(node: Arc<Node>, address: SocketAddr) {
    let (version, backends) = {
        let knowledge = node.knowledge();
        (knowledge.version, knowledge.backends)
    };
    let asked = tokio::time::timeout(PULL, ask(address, version, backends)).await;
    let reply = match asked {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            let address = address.to_string();
            telemetry::event!(KNOWLEDGE_UNPULLED, vm = address, error = error.to_string());
            return;
        }
        Err(_) => {
            let address = address.to_string();
            telemetry::event!(KNOWLEDGE_UNPULLED, vm = address, error = "no answer in time");
            return;
        }
    };
    let source = address.to_string();
    if let Some(text) = &reply.configuration {
        learn_configuration(&node, text.as_bytes(), &source);
    }
    if let Some(rows) = reply.rows {
        let row = |row: ListedRow| {
            let value = Some(row.value.into_string().into_bytes());
            (row.key.clone(), RawRow { key: row.key, value, version: row.version })
        };
        learn_backends(&node, rows.into_iter().map(row).collect(), reply.backends, &source);
    }
    telemetry::event!(KNOWLEDGE_PULLED, vm = source, backends = reply.backends);
}
