use std::sync::Arc;

use config::{ChangeSet, FleetConfig};
use futures::future::BoxFuture;
use kernel::ConfigVersion;
use serde::Serialize;

use crate::{ExplainQuery, Explanation, OperatorError, Status, StatusQuery};

/// Result of a change set that was applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// Version that contains it.
    pub version: ConfigVersion,
    /// True if an earlier call had already applied it.
    pub repeated: bool,
}

/// Operations that the daemon offers to operators. The server checks the token before each call.
pub trait OperatorHandler: Send + Sync + 'static {
    /// Applies a change set atomically; the same change id is applied only once.
    fn apply(&self, set: ChangeSet) -> BoxFuture<'_, Result<Applied, OperatorError>>;

    /// Returns the newest configuration that this VM knows.
    fn config(&self) -> BoxFuture<'_, Result<Arc<FleetConfig>, OperatorError>>;

    /// Returns the state of the fleet as this VM knows it.
    fn status(&self, query: StatusQuery) -> BoxFuture<'_, Result<Status, OperatorError>>;

    /// Explains a request; `NotFound` for the id of a request that this VM has not handled.
    fn explain(&self, query: ExplainQuery) -> BoxFuture<'_, Result<Explanation, OperatorError>>;
}
