use std::collections::HashMap;

use balancer::{Direction, LinkBudget};
use kernel::prelude::*;

/// Bytes per second of the link between regions, each way: 30 Mbit/s.
const LINK_BYTES_PER_S: f64 = 3_750_000.0;
/// Fraction of the link for requests sent to other regions; the rest is for control and other
/// traffic.
const OVERFLOW_FRACTION: f64 = 0.5;
/// Maximum burst of a service, in seconds of its rate.
const BURST_S: f64 = 0.25;
/// Assumed size of a request or response head.
const HEAD_BYTES: u64 = 1024;
/// Expected length of the first response.
const INITIAL_RESPONSE_BYTES: f64 = 16_384.0;
/// EWMA weight of the newest response in the mean length.
const RESPONSE_ALPHA: f64 = 0.1;
/// How long a report of free slots is valid; reports are sent every 200 ms.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

struct SlotReport {
    free_slots: u32,
    received_at: Uptime,
}

struct Link {
    budget: LinkBudget,
    /// EWMA of the response length in bytes.
    mean_response: f64,
}

/// Sends requests of the services whose home is this VM to other regions.
#[derive(Default)]
pub struct Overflow {
    /// Free slots by service and home in another region, decremented with every request sent there.
    reports: HashMap<ServiceId, HashMap<Incarnation, SlotReport>>,
    links: HashMap<ServiceId, Link>,
}

impl Overflow {
    /// Records a report of free slots from the home in another region.
    pub fn record_report(
        &mut self,
        now: Uptime,
        service: &str,
        from: Incarnation,
        free_slots: u32,
    ) {
        let reports = self.reports.entry(service.into()).or_default();
        reports.retain(|_, report| now < report.received_at + MAX_REPORT_AGE);
        reports.insert(from, SlotReport { free_slots, received_at: now });
    }

    /// Chooses a home in another region for a request, within the budget of the link.
    ///
    /// The link is divided evenly among the services, because the homes of one region do not know
    /// what the others send.
    pub fn choose_home(
        &mut self,
        now: Uptime,
        service: &str,
        services: usize,
        weight: f64,
        bytes: u64,
    ) -> Option<Incarnation> {
        let reports = self.reports.get_mut(service)?;
        let (home, report) = reports
            .iter_mut()
            .filter(|(_, report)| {
                report.free_slots > 0 && now < report.received_at + MAX_REPORT_AGE
            })
            .max_by_key(|(_, report)| report.free_slots)?;
        let rate = LINK_BYTES_PER_S * OVERFLOW_FRACTION / services.max(1) as f64;
        let link = self.links.entry(service.into()).or_insert_with(|| Link {
            budget: LinkBudget::new(now, rate, rate * BURST_S),
            mean_response: INITIAL_RESPONSE_BYTES,
        });
        let expected_response = link.mean_response as u64 + HEAD_BYTES;
        if !link.budget.admit(now, bytes + HEAD_BYTES, expected_response, weight) {
            telemetry::event!(LINK_BUDGET_SPENT, service = service);
            return None;
        }
        report.free_slots -= 1;
        Some(*home)
    }

    /// Corrects the budget by the actual length of a response.
    pub fn record_response(&mut self, now: Uptime, service: &str, bytes: u64) {
        let Some(link) = self.links.get_mut(service) else { return };
        let expected = link.mean_response as u64;
        if bytes < expected {
            link.budget.refund(now, Direction::Inbound, expected - bytes);
        } else {
            // If the budget does not cover the difference, later requests are held back until it
            // does.
            let _ = link.budget.take_chunk(now, Direction::Inbound, bytes - expected);
        }
        link.mean_response += RESPONSE_ALPHA * (bytes as f64 - link.mean_response);
    }
}
