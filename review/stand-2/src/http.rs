use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP/1.1 message whose body has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body as text.
    pub body: String,
}

impl Message {
    /// A header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }

    /// A word of the first line; empty if it is missing.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the next message of a connection; `None` at its end. `buffer` keeps what follows.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 8192];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.lines();
    let start = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&buffer[end..end + length]).into_owned();
    buffer.drain(..end + length);
    Ok(Some(Message { start, headers, body }))
}

/// Sends a request on a connection of its own and reads the response.
pub fn request(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let response = read_message(&mut stream, &mut Vec::new())?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
