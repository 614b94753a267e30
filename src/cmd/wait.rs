use std::time::Duration;

use operator::{Client, OperatorError, RolloutProgress, StatusQuery};
use tokio::time::{Instant, sleep};

/// Interval between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until every live VM has a version in force, or until the time limit; returns the result of
/// the last status request.
pub async fn wait_until_in_force(
    client: &mut Client,
    version: u64,
    time_limit: Duration,
) -> Result<RolloutProgress, OperatorError> {
    let deadline = Instant::now() + time_limit;
    loop {
        let response = client.status(StatusQuery::default()).await;
        let progress = response.map(|status| RolloutProgress::new(&status, version));
        let is_final = match &progress {
            Ok(progress) => progress.is_complete(),
            // The queried VM may be restarting after a replacement; other errors are permanent.
            Err(OperatorError::Unavailable(_)) => false,
            Err(_) => true,
        };
        if is_final || Instant::now() + POLL_INTERVAL > deadline {
            return progress;
        }
        sleep(POLL_INTERVAL).await;
    }
}
