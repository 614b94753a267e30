use std::sync::Arc;

use config::{ChangeSet, FleetConfig};
use futures::future::BoxFuture;
use kernel::ConfigVersion;
use serde::Serialize;

use crate::{ExplainQuery, Explanation, OperatorError, Status, StatusQuery};

/// A change set has taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// Version that it led to.
    pub version: ConfigVersion,
    /// True if it had taken effect before this call.
    pub repeated: bool,
}

/// What the daemon does for operators. Callers have shown a valid token.
pub trait OperatorHandler: Send + Sync + 'static {
    /// Applies a change set as a whole; the same change id has no second effect.
    fn apply(&self, set: ChangeSet) -> BoxFuture<'_, Result<Applied, OperatorError>>;

    /// The newest configuration that this VM knows.
    fn config(&self) -> BoxFuture<'_, Result<Arc<FleetConfig>, OperatorError>>;

    /// State of the fleet as this VM knows it.
    fn status(&self, query: StatusQuery) -> BoxFuture<'_, Result<Status, OperatorError>>;

    /// Explains a request; `NotFound` for a request id that this VM has not seen.
    fn explain(&self, query: ExplainQuery) -> BoxFuture<'_, Result<Explanation, OperatorError>>;
}
