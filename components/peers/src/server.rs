use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use kernel::prelude::*;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::handshake::{self, HandshakeError, RandomSource};
use crate::message::{Message, MessageBatch, MessageError};
use crate::service::{DeltasReply, Peer, VmReport};

/// Delay after a failed accept, so that a VM out of file descriptors does not busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the calls of other VMs.
pub trait PeerCalls: Send + Sync {
    /// Handles a message.
    fn receive(&self, from: Incarnation, message: Message);

    /// Returns the configuration changes after a version.
    fn deltas(&self, after: ConfigVersion) -> BoxFuture<'_, DeltasReply>;

    /// Returns the state of this VM.
    fn report(&self) -> BoxFuture<'_, VmReport>;
}

#[derive(Clone)]
struct PeerServer {
    handler: Arc<dyn PeerCalls>,
}

impl Peer for PeerServer {
    async fn deliver(self, _: Context, parcel: MessageBatch) {
        let from = parcel.from;
        for raw in parcel.messages {
            match Message::try_from(raw) {
                Ok(message) => self.handler.receive(from, message),
                // A newer release may send messages that this one does not know.
                Err(error) => log_skipped_message(from, &error),
            }
        }
    }

    async fn deltas(self, _: Context, after: ConfigVersion) -> DeltasReply {
        self.handler.deltas(after).await
    }

    async fn report(self, _: Context) -> VmReport {
        self.handler.report().await
    }
}

/// Logs the topic of a skipped message, but not its body.
fn log_skipped_message(from: Incarnation, error: &MessageError) {
    let (MessageError::UnknownTopic(topic) | MessageError::InvalidBody { topic, .. }) = error;
    telemetry::event!(MESSAGE_SKIPPED, from = format!("{from:016x}"), topic = topic);
}

async fn serve_connection(
    mut stream: TcpStream,
    secret: Arc<[u8]>,
    random: RandomSource,
    handler: Arc<dyn PeerCalls>,
) {
    let _ = stream.set_nodelay(true);
    if let Err(error) = handshake::as_server(&mut stream, &secret, &random).await {
        // Connections that fail otherwise are those of stopping VMs or of port scanners.
        if matches!(error, HandshakeError::InvalidProof) {
            let address = stream.peer_addr().map_or_else(|_| "".into(), |a| a.to_string());
            telemetry::event!(PEER_REJECTED, address = address);
        }
        return;
    }
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Json::default());
    BaseChannel::with_defaults(transport)
        .execute(PeerServer { handler }.serve())
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

/// Serves other VMs until `stop` is cancelled.
pub async fn serve(
    listener: TcpListener,
    secret: impl Into<Arc<[u8]>>,
    random: RandomSource,
    handler: Arc<dyn PeerCalls>,
    stop: CancellationToken,
) {
    let secret = secret.into();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let served = serve_connection(
            stream,
            Arc::clone(&secret),
            Arc::clone(&random),
            Arc::clone(&handler),
        );
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = served => {}
            }
        });
    }
}
