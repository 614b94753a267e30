use std::io::{self, Read};
use std::net::TcpStream;

/// A request or response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?;
        Some(percent_decode(pair.1))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| bytes.get(i + 1..i + 3)).flatten();
        let value = hex
            .and_then(|h| std::str::from_utf8(h).ok())
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match value {
            Some(value) => {
                out.push(value);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16384];
    let read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read > 0)
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer.windows(pattern.len()).position(|w| w == pattern)
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what)
}

/// Reads one message; `None` if the peer has closed the connection before its first byte. Bytes of
/// a later message stay in `buffer`.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, buffer)? {
            return if buffer.is_empty() { Ok(None) } else { Err(broken("cut in a head")) };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message { start: lines.next().unwrap_or("").to_owned(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let end = loop {
                if let Some(end) = find(buffer, b"\r\n") {
                    break end;
                }
                if !fill(stream, buffer)? {
                    return Err(broken("cut in a chunk"));
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| broken("no chunk size"))?;
            buffer.drain(..end + 2);
            while buffer.len() < size + 2 {
                if !fill(stream, buffer)? {
                    return Err(broken("cut in a chunk"));
                }
            }
            message.body.extend_from_slice(&buffer[..size]);
            buffer.drain(..size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(broken("cut in a body"));
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}
