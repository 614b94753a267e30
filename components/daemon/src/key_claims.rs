use kernel::prelude::*;
use kernel::{PlatformError, Transaction};
use retry::ClaimResult;
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// Claims per second of the whole fleet. The table takes several hundred writes per second; the
/// rest is for sessions, rights and the configuration.
const FLEET_CLAIMS_PER_S: f64 = 100.0;
/// Number of regions that share the claims of a service: the home in each region makes claims.
const REGION_COUNT: f64 = 2.0;
/// Maximum burst of claims of one VM.
const BURST_CLAIMS: f64 = 10.0;

/// Token bucket that limits this VM's claims to its share of [`FLEET_CLAIMS_PER_S`].
#[derive(Debug)]
pub struct ClaimBudget {
    /// Claims available at `refilled_at`, between 0 and `BURST_CLAIMS`.
    tokens: f64,
    /// When `tokens` was last updated.
    refilled_at: Uptime,
}

impl Default for ClaimBudget {
    fn default() -> Self {
        ClaimBudget { tokens: BURST_CLAIMS, refilled_at: Uptime::ZERO }
    }
}

impl ClaimBudget {
    /// Takes one claim; returns false if the budget is exhausted.
    ///
    /// Only homes make claims, so the rate of the fleet is divided among services and regions.
    pub fn try_take(&mut self, now: Uptime, services: usize) -> bool {
        let rate = FLEET_CLAIMS_PER_S / (services.max(1) as f64 * REGION_COUNT);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(BURST_CLAIMS);
        self.refilled_at = self.refilled_at.max(now);
        let admitted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(admitted));
        admitted
    }
}

/// Table row that claims a caller-generated idempotency key.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRow {
    incarnation: Incarnation,
    attempt: u64,
}

impl From<ClaimRow> for ClaimResult {
    fn from(row: ClaimRow) -> Self {
        ClaimResult::Row { incarnation: row.incarnation, attempt: row.attempt }
    }
}

impl Shared {
    /// Claims a caller-generated idempotency key for this attempt.
    pub async fn claim_key(&self, organisation: &str, key: &str, attempt: u64) -> ClaimResult {
        let services = self.lookup.load().config.services.len();
        if !self.claim_budget().try_take(self.now(), services) {
            return ClaimResult::Failed;
        }
        let name: Box<str> = format!("claim/{organisation}/{key}").into();
        let row = ClaimRow { incarnation: self.this_vm.incarnation, attempt };
        let Ok(value) = serde_json::to_string(&row) else { return ClaimResult::Failed };
        let claim = Transaction {
            checks: vec![(name.clone(), 0)],
            puts: vec![(name.clone(), value.into())],
            deletes: Vec::new(),
        };
        match self.platform.table.commit(&claim).await {
            Ok(_) => row.into(),
            Err(PlatformError::Conflict { .. } | PlatformError::ResponseLost(_)) => {
                let read = self.platform.table.read(&name).await;
                let row = read.ok().flatten();
                row.and_then(|row| serde_json::from_str::<ClaimRow>(&row.value).ok())
                    .map_or(ClaimResult::Failed, ClaimResult::from)
            }
            Err(_) => ClaimResult::Failed,
        }
    }
}
