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

use crate::handshake::{self, HandshakeError, Random};
use crate::message::{Message, Parcel};
use crate::service::{DeltasReply, PeerClient, VmReport};

/// Longest wait for a connection or an answer; both regions answer within 60 ms.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a peer that could not be reached is connected to again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Why another VM did not answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection, or a handshake that failed.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: HandshakeError,
    },
    /// The last connection failed a moment ago.
    #[error("{0} could not be reached a moment ago; retry shortly")]
    Pausing(SocketAddr),
    /// The call failed.
    #[error("{address} did not answer: {source}; a new connection will be tried")]
    Call {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: RpcError,
    },
}

#[derive(Default)]
struct Link {
    client: tokio::sync::Mutex<Option<PeerClient>>,
    failed: Mutex<Option<Instant>>,
}

/// Connections to the other VMs, opened when they are needed.
pub struct Peers {
    from: Incarnation,
    secret: Box<[u8]>,
    random: Random,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + TIMEOUT;
    context
}

impl Peers {
    /// Connections that prove themselves with the fleet secret.
    pub fn new(from: Incarnation, secret: impl Into<Box<[u8]>>, random: Random) -> Self {
        Peers { from, secret: secret.into(), random, links: Mutex::default() }
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(links.entry(address).or_default())
    }

    /// Drops the connections to all but these addresses.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).retain(|a, _| keep(a));
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, PeerError> {
        let failed = |source| PeerError::Connect { address, source };
        let mut stream = tokio::time::timeout(TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| failed(HandshakeError::TimedOut))?
            .map_err(|error| failed(error.into()))?;
        stream.set_nodelay(true).map_err(|error| failed(error.into()))?;
        handshake::as_client(&mut stream, &self.secret, &self.random).await.map_err(failed)?;
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Json::default());
        Ok(PeerClient::new(Default::default(), transport).spawn())
    }

    async fn client(&self, address: SocketAddr) -> Result<(Arc<Link>, PeerClient), PeerError> {
        let link = self.link(address);
        let mut client = link.client.lock().await;
        if client.is_none() {
            let failed = *link.failed.lock().unwrap_or_else(PoisonError::into_inner);
            if failed.is_some_and(|at| at.elapsed() < RETRY_PAUSE) {
                return Err(PeerError::Pausing(address));
            }
            match self.connect(address).await {
                Ok(new) => *client = Some(new),
                Err(error) => {
                    let now = Some(Instant::now());
                    *link.failed.lock().unwrap_or_else(PoisonError::into_inner) = now;
                    return Err(error);
                }
            }
        }
        let ready = client.clone();
        drop(client);
        ready.map(|client| (link, client)).ok_or(PeerError::Pausing(address))
    }

    async fn ended<T>(
        &self,
        address: SocketAddr,
        link: &Link,
        result: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        match result {
            Ok(value) => Ok(value),
            Err(source) => {
                // The connection may have gone silent; the next call opens a new one.
                *link.client.lock().await = None;
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
        let parcel = Parcel::new(self.from, messages);
        let (link, client) = self.client(to).await?;
        let result = client.deliver(deadline(), parcel).await;
        self.ended(to, &link, result).await
    }

    /// Asks a VM for the changes after a version.
    pub async fn deltas(
        &self,
        to: SocketAddr,
        after: ConfigVersion,
    ) -> Result<DeltasReply, PeerError> {
        let (link, client) = self.client(to).await?;
        let result = client.deltas(deadline(), after).await;
        self.ended(to, &link, result).await
    }

    /// Asks a VM for its state.
    pub async fn report(&self, to: SocketAddr) -> Result<VmReport, PeerError> {
        let (link, client) = self.client(to).await?;
        let result = client.report(deadline()).await;
        self.ended(to, &link, result).await
    }
}
