use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of a handshake, in which both sides only compute a hash.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of a challenge and of its HMAC.
const CHALLENGE_BYTES: usize = 32;
const CLIENT_ROLE: &[u8] = b"papayareel peer client 1";
const SERVER_ROLE: &[u8] = b"papayareel peer server 1";

/// Source of random numbers.
pub type RandomSource = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Error of the handshake between two VMs.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("connection failed during the handshake: {0}")]
    Io(#[from] std::io::Error),
    /// The other side did not respond in time.
    #[error("the other VM did not respond in time; check its address")]
    TimedOut,
    /// The other side does not know the fleet secret.
    #[error("the other VM has a different fleet secret; check secrets.fleet in its settings")]
    InvalidProof,
}

fn challenge(random: &RandomSource) -> [u8; CHALLENGE_BYTES] {
    let mut bytes = [0; CHALLENGE_BYTES];
    for chunk in bytes.chunks_exact_mut(8) {
        chunk.copy_from_slice(&random().to_le_bytes());
    }
    bytes
}

fn mac(secret: &[u8], role: &[u8], challenge: &[u8]) -> Result<Hmac<Sha256>, HandshakeError> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret).map_err(|_| HandshakeError::InvalidProof)?;
    mac.update(role);
    mac.update(challenge);
    Ok(mac)
}

async fn exchange(
    stream: &mut TcpStream,
    secret: &[u8],
    random: &RandomSource,
    own_role: &[u8],
    other_role: &[u8],
) -> Result<(), HandshakeError> {
    let own_challenge = challenge(random);
    stream.write_all(&own_challenge).await?;
    let mut other_challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut other_challenge).await?;
    stream.write_all(&mac(secret, own_role, &other_challenge)?.finalize().into_bytes()).await?;
    let mut proof = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut proof).await?;
    mac(secret, other_role, &own_challenge)?
        .verify_slice(&proof)
        .map_err(|_| HandshakeError::InvalidProof)
}

async fn with_timeout(
    exchange: impl Future<Output = Result<(), HandshakeError>>,
) -> Result<(), HandshakeError> {
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::TimedOut))
}

/// Client side of the handshake: both sides prove that they know the secret.
pub async fn as_client(
    stream: &mut TcpStream,
    secret: &[u8],
    random: &RandomSource,
) -> Result<(), HandshakeError> {
    with_timeout(exchange(stream, secret, random, CLIENT_ROLE, SERVER_ROLE)).await
}

/// Server side of the handshake: both sides prove that they know the secret.
pub async fn as_server(
    stream: &mut TcpStream,
    secret: &[u8],
    random: &RandomSource,
) -> Result<(), HandshakeError> {
    with_timeout(exchange(stream, secret, random, SERVER_ROLE, CLIENT_ROLE)).await
}
