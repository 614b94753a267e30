use std::time::Duration;

use operator::{Client, OperatorError, RolloutProgress, StatusQuery};
use tokio::time::{Instant, sleep};

/// Pause between two looks at the status.
const PAUSE: Duration = Duration::from_millis(250);

/// Waits until every live VM has a version in force or the time is over; returns the last look.
pub async fn wait(
    client: &mut Client,
    version: u64,
    limit: Duration,
) -> Result<RolloutProgress, OperatorError> {
    let end = Instant::now() + limit;
    loop {
        let look = client.status(StatusQuery::default()).await;
        let progress = look.map(|status| RolloutProgress::new(&status, version));
        let settled = match &progress {
            Ok(progress) => progress.is_complete(),
            // The VM that is asked may be replaced meanwhile; other errors do not pass.
            Err(OperatorError::Unavailable(_)) => false,
            Err(_) => true,
        };
        if settled || Instant::now() + PAUSE > end {
            return progress;
        }
        sleep(PAUSE).await;
    }
}
