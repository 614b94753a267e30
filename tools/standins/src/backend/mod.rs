mod ledger;
mod options;
mod slots;
mod work;

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;

use crate::Server;
use crate::door::Door;

pub use options::{Options, OptionsError};

/// Serves a backend server on the listener. Needs a tokio runtime.
pub fn serve(listener: TcpListener, options: Options) -> io::Result<Server> {
    let door = Arc::new(Door::new(options.connections));
    let work = work::Work::new(options, door.clone()).map_err(io::Error::other)?;
    Server::start(listener, Arc::new(work), door)
}
