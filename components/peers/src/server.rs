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

use crate::handshake::{self, HandshakeError, Random};
use crate::message::{Message, MessageError, Parcel};
use crate::service::{DeltasReply, Peer, VmReport};

/// Pause after a failed accept, so that a VM out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes the calls of other VMs.
pub trait Handler: Send + Sync {
    /// Takes a message.
    fn receive(&self, from: Incarnation, message: Message);

    /// Returns the changes after a version.
    fn deltas(&self, after: ConfigVersion) -> BoxFuture<'_, DeltasReply>;

    /// Reports the state of this VM.
    fn report(&self) -> BoxFuture<'_, VmReport>;
}

#[derive(Clone)]
struct Server {
    handler: Arc<dyn Handler>,
}

impl Peer for Server {
    async fn deliver(self, _: Context, parcel: Parcel) {
        let from = parcel.from;
        for raw in parcel.messages {
            match Message::try_from(raw) {
                Ok(message) => self.handler.receive(from, message),
                // A newer release may send what this one does not know.
                Err(error) => note_skipped(from, &error),
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

/// The body of a message stays out of the log.
fn note_skipped(from: Incarnation, error: &MessageError) {
    let (MessageError::Topic(topic) | MessageError::Body { topic, .. }) = error;
    telemetry::event!(MESSAGE_SKIPPED, from = format!("{from:016x}"), topic = topic);
}

async fn serve_one(
    mut stream: TcpStream,
    secret: Arc<[u8]>,
    random: Random,
    handler: Arc<dyn Handler>,
) {
    let _ = stream.set_nodelay(true);
    if let Err(error) = handshake::as_server(&mut stream, &secret, &random).await {
        // Connections that break off are those of VMs that stop, or of port scanners.
        if matches!(error, HandshakeError::Proof) {
            let address = stream.peer_addr().map_or_else(|_| "".into(), |a| a.to_string());
            telemetry::event!(PEER_REJECTED, address = address);
        }
        return;
    }
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Json::default());
    BaseChannel::with_defaults(transport)
        .execute(Server { handler }.serve())
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

/// Serves other VMs until `stop` is cancelled.
pub async fn serve(
    listener: TcpListener,
    secret: impl Into<Arc<[u8]>>,
    random: Random,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    let secret = secret.into();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let served =
            serve_one(stream, Arc::clone(&secret), Arc::clone(&random), Arc::clone(&handler));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = served => {}
            }
        });
    }
}
