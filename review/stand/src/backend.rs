use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{read_message, Message};

/// What a backend server does with a request.
pub enum Reply {
    /// Works for a time, then answers with this status, these headers and this body.
    Work(Duration, u16, Vec<(String, String)>, Vec<u8>),
    /// Handles the rest of the connection itself.
    Own(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

/// Stand-in for a backend server: it answers one request at a time on a connection.
pub struct Backend {
    pub address: SocketAddr,
    pub id: String,
}

impl Backend {
    /// Starts a server; `handle` decides on each request that names it in `Expected-Instance`.
    pub fn start(
        ip: &str,
        id: &str,
        handle: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Backend {
        let listener = TcpListener::bind((ip, 0)).expect("a backend server needs a free port");
        let address = listener.local_addr().unwrap();
        let (handle, own_id) = (Arc::new(handle), id.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handle, id) = (Arc::clone(&handle), own_id.clone());
                std::thread::spawn(move || serve(stream, &id, &*handle));
            }
        });
        Backend { address, id: id.to_owned() }
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, domain: &str, slots: u32, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{domain}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":1760000000000}}",
            self.address
        )
    }
}

fn serve(mut stream: TcpStream, id: &str, handle: &dyn Fn(&Message) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expected-instance").is_some_and(|expected| expected != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nRequest-Id: {request_id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let (work, status, headers, body) = match handle(&request) {
            Reply::Work(work, status, headers, body) => (work, status, headers, body),
            Reply::Own(own) => return own(&mut stream),
        };
        std::thread::sleep(work);
        let mut head = format!("HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}
