//! Blocking HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request or response that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let (_, value) = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?;
        let (bytes, mut out, mut at) = (value.as_bytes(), Vec::new(), 0);
        while at < bytes.len() {
            let code = (bytes[at] == b'%')
                .then(|| bytes.get(at + 1..at + 3))
                .flatten()
                .and_then(|d| u8::from_str_radix(std::str::from_utf8(d).ok()?, 16).ok());
            out.push(code.unwrap_or(bytes[at]));
            at += if code.is_some() { 3 } else { 1 };
        }
        String::from_utf8(out).ok()
    }
}

/// Reads one message; `None` if the other side has closed the connection before it.
pub fn read_message(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> Result<Option<Message>> {
    let mut chunk = [0; 16384];
    let end = loop {
        if let Some(end) = ahead.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk)? {
            0 if ahead.is_empty() => return Ok(None),
            0 => return Err(Error::new(ErrorKind::UnexpectedEof, "the head breaks off")),
            count => ahead.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&ahead[..end]).into_owned();
    ahead.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message { line: lines.next().unwrap_or("").into(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().into()));
        }
    }
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while ahead.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(Error::new(ErrorKind::UnexpectedEof, "the body breaks off")),
            count => ahead.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = ahead.drain(..length).collect();
    Ok(Some(message))
}

/// A response: status with reason, headers without the length, body.
pub type Reply = (&'static str, Vec<(String, String)>, Vec<u8>);

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Message) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut ahead = Vec::new();
                while let Ok(Some(message)) = read_message(&mut stream, &mut ahead) {
                    if !write_reply(&mut stream, handler(message)) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a whole answer; returns whether that worked.
pub fn write_reply(stream: &mut TcpStream, (status, headers, body): Reply) -> bool {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    let mut out = (out + "\r\n").into_bytes();
    out.extend(body);
    stream.write_all(&out).is_ok()
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, ahead: Vec::new() })
    }

    /// Sends a request and reads its response within a time.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Message> {
        let end = Instant::now() + timeout;
        let mut out = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() {
            out += &format!("Content-Length: {}\r\n", body.len());
        }
        let mut out = (out + "\r\n").into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)?;
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        let message = read_message(&mut self.stream, &mut self.ahead)?;
        message.ok_or_else(|| Error::new(ErrorKind::ConnectionAborted, "closed without an answer"))
    }
}
