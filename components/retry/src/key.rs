use std::fmt;

use kernel::Incarnation;
use thiserror::Error;

/// Longest key in bytes.
const LONGEST: usize = 128;
/// Longest nonce in bytes.
const LONGEST_NONCE: usize = 64;

/// Key that a caller gives a request so that it runs at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum IdempotencyKey {
    /// Made from a prefix of an entry response.
    Issued {
        /// The only incarnation that may run the request. Not zero.
        incarnation: Incarnation,
        /// Second of issue on that incarnation's clock.
        second: u64,
        /// The caller's part.
        nonce: Box<str>,
    },
    /// Made by the caller alone; it must be claimed in the table before the request runs.
    CallerMade(Box<str>),
}

/// Why a text is no idempotency key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// Nothing there.
    #[error("the idempotency key is empty; use a prefix of an entry response and a nonce")]
    Empty,
    /// Too long.
    #[error("the idempotency key has {0} bytes; use at most {LONGEST}")]
    TooLong(usize),
    /// A byte that is not visible ASCII.
    #[error("the idempotency key has byte {0:#04x}; use visible ASCII characters only")]
    Byte(u8),
    /// A key format of another release.
    #[error("the key format {0:?} is not known; use a prefix of a new entry response")]
    Format(Box<str>),
    /// The incarnation is not 16 lower-case hexadecimal digits or is zero.
    #[error("the incarnation {0:?} is not valid; use the prefix of an entry response unchanged")]
    Incarnation(Box<str>),
    /// The second is not a canonical decimal number.
    #[error("the second {0:?} is not valid; use the prefix of an entry response unchanged")]
    Second(Box<str>),
    /// The nonce is missing or too long.
    #[error("the nonce has {0} bytes; append 1 to {LONGEST_NONCE} to the prefix")]
    Nonce(usize),
}

/// The prefix that an entry response gives out, to which the caller appends a nonce.
pub fn issue_prefix(incarnation: Incarnation, second: u64) -> Box<str> {
    format!("v1.{incarnation:016x}.{second}.").into()
}

/// Whether the text starts like `v<number>.`, which is reserved for issued keys.
fn format_of(text: &str) -> Option<&str> {
    let (format, _) = text.split_once('.')?;
    let digits = format.strip_prefix('v')?;
    let all = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    all.then_some(format)
}

fn parse_incarnation(text: &str) -> Option<Incarnation> {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != 16 || !text.bytes().all(digit) {
        return None;
    }
    Incarnation::from_str_radix(text, 16).ok().filter(|i| *i != 0)
}

fn parse_second(text: &str) -> Option<u64> {
    // A sign or a leading zero would give one key several spellings.
    let canonical = text == "0" || !text.starts_with(['0', '+']);
    if canonical { text.parse().ok() } else { None }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > LONGEST {
            return Err(KeyError::TooLong(text.len()));
        }
        if let Some(byte) = text.bytes().find(|b| !b.is_ascii_graphic()) {
            return Err(KeyError::Byte(byte));
        }
        match format_of(text) {
            None => return Ok(IdempotencyKey::CallerMade(text.into())),
            Some("v1") => {}
            Some(format) => return Err(KeyError::Format(format.into())),
        }
        let mut parts = text.splitn(4, '.').skip(1);
        let mut next = || parts.next().unwrap_or_default();
        let (incarnation, second, nonce) = (next(), next(), next());
        let incarnation = parse_incarnation(incarnation)
            .ok_or_else(|| KeyError::Incarnation(incarnation.into()))?;
        let second = parse_second(second).ok_or_else(|| KeyError::Second(second.into()))?;
        if nonce.is_empty() || nonce.len() > LONGEST_NONCE {
            return Err(KeyError::Nonce(nonce.len()));
        }
        Ok(IdempotencyKey::Issued { incarnation, second, nonce: nonce.into() })
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdempotencyKey::Issued { incarnation, second, nonce } => {
                write!(f, "{}{nonce}", issue_prefix(*incarnation, *second))
            }
            IdempotencyKey::CallerMade(text) => f.write_str(text),
        }
    }
}
