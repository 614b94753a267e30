use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Incarnation, Place, VmId};

/// Version of a row, increased by every write. Zero means that the row does not exist.
pub type RowVersion = u64;

/// A row of the platform's table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Box<str>,
    /// Version of the row. At least 1.
    pub version: RowVersion,
    /// Value, by convention JSON text.
    pub value: Box<str>,
}

/// Writes that are applied atomically.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions: the version that each row must have. Version 0 means that the row must not
    /// exist.
    pub checks: Vec<(Box<str>, RowVersion)>,
    /// Rows to write.
    pub puts: Vec<(Box<str>, Box<str>)>,
    /// Rows to delete.
    pub deletes: Vec<Box<str>>,
}

/// Error of a call to the platform.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum PlatformError {
    /// A precondition of the transaction failed; nothing was written.
    #[error("row {key:?} has changed; read it again and decide anew")]
    Conflict {
        /// Key of the first row whose precondition failed.
        key: Box<str>,
    },
    /// The platform rejected the request because of its rate limit; nothing was written.
    #[error("the platform is over its budget; retry later")]
    Throttled,
    /// No request reached the platform; nothing was written.
    #[error("the platform cannot be reached ({0}); retry when it is back")]
    Unreachable(Box<str>),
    /// The request was sent but no response was received; it may have taken effect.
    #[error("the platform's response was lost ({0}); read back what was written")]
    ResponseLost(Box<str>),
    /// The response is invalid.
    #[error("the platform's response is invalid ({0}); check its address and version")]
    InvalidResponse(Box<str>),
}

/// The platform's transactional table service.
pub trait TableStore: Send + Sync {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, PlatformError>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in order.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>>;

    /// Commits a transaction and returns the new version of all written rows.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<RowVersion, PlatformError>>;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>>;

    /// Writes an object, replacing one of the same name.
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>)
    -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Lists the objects whose names start with `prefix`, in order of name.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Box<str>>, PlatformError>>;

    /// Deletes an object. Succeeds if there is no such object.
    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), PlatformError>>;
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Running.
    Live,
    /// Shutting down.
    Leaving,
}

/// A VM of the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Process start that the entry describes.
    pub incarnation: Incarnation,
    /// Region and failure domain in which it runs.
    pub place: Place,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address for traffic from other VMs.
    pub peers: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// The platform's list of VMs, which is eventually consistent.
pub trait VmList: Send + Sync {
    /// Adds or replaces this VM's entry.
    fn announce<'a>(&'a self, entry: &'a VmEntry) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Reads the list. The result may be minutes out of date.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>>;
}

/// Clients of the platform's three services.
#[derive(Clone)]
pub struct Platform {
    /// Table service.
    pub table: Arc<dyn TableStore>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// List of VMs.
    pub vms: Arc<dyn VmList>,
}
