mod observations;
mod options;
mod service;
mod slots;

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;

use crate::Server;
use crate::acceptor::Acceptor;

pub use options::{Options, OptionsError};

/// Serves a backend server on the listener. Must be called within a Tokio runtime.
pub fn serve(listener: TcpListener, options: Options) -> io::Result<Server> {
    let acceptor = Arc::new(Acceptor::new(options.max_connections));
    let service =
        service::BackendService::new(options, acceptor.clone()).map_err(io::Error::other)?;
    Server::start(listener, Arc::new(service), acceptor)
}
