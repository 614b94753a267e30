use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kernel::prelude::*;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::handshake::{self, HandshakeError, RandomSource};
use crate::message::{Message, MessageBatch};
use crate::service::{DeltasReply, PeerClient, VmReport};

/// Timeout of a connection attempt and of a call. Responses between regions take up to 60 ms.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before another connection attempt to a peer that could not be reached.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(300);

/// Error of a call to another VM.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection or the handshake failed.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: HandshakeError,
    },
    /// The last connection attempt failed less than the reconnect backoff ago.
    #[error("the last connection to {0} failed; retry in 300 ms")]
    BackingOff(SocketAddr),
    /// The call failed.
    #[error("call to {address} failed: {source}; the next call opens a new connection")]
    Call {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: RpcError,
    },
}

#[derive(Default)]
struct PeerConnection {
    client: tokio::sync::Mutex<Option<PeerClient>>,
    last_failure: Mutex<Option<Instant>>,
}

/// Connections to the other VMs, opened on the first call.
pub struct Peers {
    from: Incarnation,
    secret: Box<[u8]>,
    random: RandomSource,
    connections: Mutex<HashMap<SocketAddr, Arc<PeerConnection>>>,
}

fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

impl Peers {
    /// Creates the connections of the VM `from`, which authenticate with the fleet secret.
    pub fn new(from: Incarnation, secret: impl Into<Box<[u8]>>, random: RandomSource) -> Self {
        Peers { from, secret: secret.into(), random, connections: Mutex::default() }
    }

    fn connection(&self, address: SocketAddr) -> Arc<PeerConnection> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(connections.entry(address).or_default())
    }

    /// Drops the connections to the addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).retain(|a, _| keep(a));
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, PeerError> {
        let connect_error = |source| PeerError::Connect { address, source };
        let mut stream = tokio::time::timeout(CALL_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| connect_error(HandshakeError::TimedOut))?
            .map_err(|error| connect_error(error.into()))?;
        stream.set_nodelay(true).map_err(|error| connect_error(error.into()))?;
        handshake::as_client(&mut stream, &self.secret, &self.random)
            .await
            .map_err(connect_error)?;
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Json::default());
        Ok(PeerClient::new(Default::default(), transport).spawn())
    }

    async fn connected_client(
        &self,
        address: SocketAddr,
    ) -> Result<(Arc<PeerConnection>, PeerClient), PeerError> {
        let connection = self.connection(address);
        let mut client = connection.client.lock().await;
        if client.is_none() {
            let last_failure =
                *connection.last_failure.lock().unwrap_or_else(PoisonError::into_inner);
            if last_failure.is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF) {
                return Err(PeerError::BackingOff(address));
            }
            match self.connect(address).await {
                Ok(new) => *client = Some(new),
                Err(error) => {
                    let now = Some(Instant::now());
                    *connection.last_failure.lock().unwrap_or_else(PoisonError::into_inner) = now;
                    return Err(error);
                }
            }
        }
        let ready = client.clone();
        drop(client);
        ready.map(|client| (connection, client)).ok_or(PeerError::BackingOff(address))
    }

    async fn finish_call<T>(
        &self,
        address: SocketAddr,
        connection: &PeerConnection,
        result: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        match result {
            Ok(value) => Ok(value),
            Err(source) => {
                // The connection may have stopped responding; the next call opens a new one.
                *connection.client.lock().await = None;
                Err(PeerError::Call { address, source })
            }
        }
    }

    /// Delivers messages to a VM.
    pub async fn deliver(
        &self,
        to: SocketAddr,
        messages: impl IntoIterator<Item = &Message>,
    ) -> Result<(), PeerError> {
        let parcel = MessageBatch::new(self.from, messages);
        let (connection, client) = self.connected_client(to).await?;
        let result = client.deliver(deadline(), parcel).await;
        self.finish_call(to, &connection, result).await
    }

    /// Requests the configuration changes after a version.
    pub async fn deltas(
        &self,
        to: SocketAddr,
        after: ConfigVersion,
    ) -> Result<DeltasReply, PeerError> {
        let (connection, client) = self.connected_client(to).await?;
        let result = client.deltas(deadline(), after).await;
        self.finish_call(to, &connection, result).await
    }

    /// Requests the state of a VM.
    pub async fn report(&self, to: SocketAddr) -> Result<VmReport, PeerError> {
        let (connection, client) = self.connected_client(to).await?;
        let result = client.report(deadline()).await;
        self.finish_call(to, &connection, result).await
    }
}
