use anyhow::Context;

/// A response as a caller reads it.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Request id; empty if it has none.
    pub id: String,
    /// Signature of the backend server; empty for a response of the VM's own.
    pub signature: String,
    /// Whether it says that no other response follows on the connection.
    pub closes: bool,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns why a VM refused the request; empty if the response is not its own.
    pub fn refusal_kind(&self) -> String {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// Takes the first complete response off a buffer. Fails if the bytes are none; every response of a
/// VM states its length.
pub fn take_response(buffer: &mut Vec<u8>) -> anyhow::Result<Option<Response>> {
    let Some(head_end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        anyhow::ensure!(buffer.len() < 16_384, "no end of a head");
        return Ok(None);
    };
    let head = std::str::from_utf8(&buffer[..head_end]).context("the head is no text")?;
    let header = |name: &str| {
        let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value.trim())
    };
    let status_line = head.strip_prefix("HTTP/1.1 ").context("no status line")?;
    let status = status_line.split(' ').next().unwrap_or_default().parse().context("no status")?;
    let length: usize = header("content-length").parse().context("no length")?;
    let end = head_end + 4 + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let response = Response {
        status,
        id: header("request-id").to_owned(),
        signature: header("response-signature").to_owned(),
        closes: header("connection").eq_ignore_ascii_case("close"),
        body: buffer[head_end + 4..end].to_vec(),
    };
    buffer.drain(..end);
    Ok(Some(response))
}
