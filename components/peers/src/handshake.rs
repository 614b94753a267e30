use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest handshake; both sides only compute a hash.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a challenge and of a proof.
const SIZE: usize = 32;
const CLIENT: &[u8] = b"papayareel peer client 1";
const SERVER: &[u8] = b"papayareel peer server 1";

/// Source of random numbers.
pub type Random = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Why a connection between VMs was not accepted.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection broke.
    #[error("the connection broke during the handshake: {0}")]
    Io(#[from] std::io::Error),
    /// The other side did not answer.
    #[error("the other side did not finish the handshake in time; check its address")]
    TimedOut,
    /// The other side does not know the secret.
    #[error("the other side has another fleet secret; check secrets.fleet in its settings")]
    Proof,
}

fn challenge(random: &Random) -> [u8; SIZE] {
    let mut bytes = [0; SIZE];
    for chunk in bytes.chunks_exact_mut(8) {
        chunk.copy_from_slice(&random().to_le_bytes());
    }
    bytes
}

fn mac(secret: &[u8], role: &[u8], challenge: &[u8]) -> Result<Hmac<Sha256>, HandshakeError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| HandshakeError::Proof)?;
    mac.update(role);
    mac.update(challenge);
    Ok(mac)
}

async fn exchange(
    stream: &mut TcpStream,
    secret: &[u8],
    random: &Random,
    own: &[u8],
    other: &[u8],
) -> Result<(), HandshakeError> {
    let mine = challenge(random);
    stream.write_all(&mine).await?;
    let mut theirs = [0; SIZE];
    stream.read_exact(&mut theirs).await?;
    stream.write_all(&mac(secret, own, &theirs)?.finalize().into_bytes()).await?;
    let mut proof = [0; SIZE];
    stream.read_exact(&mut proof).await?;
    mac(secret, other, &mine)?.verify_slice(&proof).map_err(|_| HandshakeError::Proof)
}

async fn timed(
    exchange: impl Future<Output = Result<(), HandshakeError>>,
) -> Result<(), HandshakeError> {
    tokio::time::timeout(TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::TimedOut))
}

/// Proves to a server that this VM knows the secret, and checks the same of the server.
pub async fn as_client(
    stream: &mut TcpStream,
    secret: &[u8],
    random: &Random,
) -> Result<(), HandshakeError> {
    timed(exchange(stream, secret, random, CLIENT, SERVER)).await
}

/// Checks that a client knows the secret, and proves the same to it.
pub async fn as_server(
    stream: &mut TcpStream,
    secret: &[u8],
    random: &Random,
) -> Result<(), HandshakeError> {
    timed(exchange(stream, secret, random, SERVER, CLIENT)).await
}
