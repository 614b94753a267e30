use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use crate::http::{read_message, Message};

/// How a request of a caller ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer.
    Whole(Message),
    /// The connection could not be opened; nothing was sent.
    NotConnected(String),
    /// The connection ended without a whole answer.
    Ended(String),
    /// No answer within the time that the caller waits.
    TimedOut,
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Whole(message) => message.status(),
            _ => 0,
        }
    }

    /// Value of `Retry-After` in seconds, of which callers take up to one.
    pub fn retry_after(&self) -> f64 {
        let Answer::Whole(message) = self else { return 0.0 };
        let seconds = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        seconds.unwrap_or(0.0).clamp(0.0, 1.0)
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Whole(message) => {
                let signed = message.header("response-signature").is_some();
                format!("{}{}", message.start, if signed { ", signed" } else { ", unsigned" })
            }
            Answer::NotConnected(error) => format!("not connected: {error}"),
            Answer::Ended(error) => format!("connection ended without an answer: {error}"),
            Answer::TimedOut => "no answer in time".to_owned(),
        }
    }
}

/// A caller's connection.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Head and body of a request.
pub fn request(method: &str, path: &str, host: &str, id: &str, key: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n"
    );
    if !key.is_empty() {
        head += &format!("Authorization: Bearer {key}\r\n");
    }
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn shutdown(socket: i32, how: i32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;
const SHUT_RDWR: i32 = 2;

/// Ends a connection at once, also for the thread that reads from it.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the descriptor is open, and the value outlives the call.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length);
        shutdown(stream.as_raw_fd(), SHUT_RDWR);
    }
}

impl Client {
    /// Another handle of the connection.
    pub fn duplicate(&self) -> TcpStream {
        self.stream.try_clone().expect("a free descriptor is needed")
    }

    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next answer.
    pub fn receive(&mut self, timeout: Duration) -> Answer {
        if self.stream.set_read_timeout(Some(timeout)).is_err() {
            return Answer::Ended("the socket is closed".to_owned());
        }
        match read_message(&mut self.stream, &mut self.buffer) {
            Ok(Some(message)) => Answer::Whole(message),
            Ok(None) => Answer::Ended("closed".to_owned()),
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                Answer::TimedOut
            }
            Err(error) => Answer::Ended(error.to_string()),
        }
    }
}

/// Sends one request on a new connection and waits for its answer.
pub fn call(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Answer {
    let mut client = match Client::connect(address) {
        Ok(client) => client,
        Err(error) => return Answer::NotConnected(error.to_string()),
    };
    if let Err(error) = client.send(bytes) {
        return Answer::Ended(error.to_string());
    }
    client.receive(timeout)
}
