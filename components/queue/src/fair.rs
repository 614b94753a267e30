use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use kernel::{OrganisationId, Queue, QueueError, QueuePlugin, Ticket, TicketId, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::ServiceTimeEstimate;
use crate::organisation::{Order, Organisation};

/// Maximum number of queued requests of one organisation: 3 s of work for 40 slots at 50 ms per
/// request, plus a reserve.
const MAX_QUEUED_PER_ORGANISATION: usize = 1024;
/// Number of queued requests that is divided equally among the organisations with queued requests
/// to give the limit of each one, between `MIN_QUEUE_LIMIT` and `MAX_QUEUED_PER_ORGANISATION`.
const MAX_QUEUED: usize = 65_536;
/// Minimum queue limit of an organisation, however many organisations have queued requests.
const MIN_QUEUE_LIMIT: usize = 8;
/// Maximum ratio of a request's charged cost to the mean cost of its organisation, so that one
/// request that hung on a gray backend server does not block its organisation for seconds.
const MAX_COST_RATIO: f64 = 10.0;
/// Number of samples from which an organisation's own estimate replaces that of the service.
const MIN_OWN_SAMPLES: u32 = 16;
/// Idle time after which the state of an organisation is dropped.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Time after a refusal during which an organisation counts as overloaded.
const OVERLOAD_PERIOD: Duration = Duration::from_secs(1);
/// Minimum retry delay returned to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

inventory::submit! {
    QueuePlugin { name: "fair", build: |_| Box::new(FairQueue::default()) }
}

new_key_type! {
    struct OrganisationKey;
}

#[derive(Clone, Copy, Debug)]
enum Location {
    /// In the class with this index, at this position.
    Class(usize, Order),
    /// Among the requests that were taken out of the queue and put back.
    Requeued,
}

#[derive(Debug)]
struct QueuedRequest {
    organisation: OrganisationKey,
    deadline: Uptime,
    location: Location,
}

/// Weighted max-min fair queue over organisations, based on the slot time that they use.
///
/// An organisation's virtual time is its slot time divided by its weight; the backlogged
/// organisation with the lowest virtual time is served next. An organisation that was idle starts
/// at the virtual time of the service, so that idle time earns no credit.
#[derive(Debug, Default)]
pub struct FairQueue {
    organisations: SlotMap<OrganisationKey, Organisation>,
    keys: HashMap<OrganisationId, OrganisationKey>,
    /// Organisations with queued requests, ordered by the bits of their virtual time. It is never
    /// negative, so the bits sort like the numbers.
    backlogged: BTreeSet<(u64, OrganisationKey)>,
    /// Sum of the weights of the backlogged organisations.
    backlogged_weight: f64,
    /// Highest virtual time of an organisation at the time it was served; never decreases.
    virtual_time: f64,
    queued: HashMap<TicketId, QueuedRequest>,
    /// Queued requests, ordered by deadline.
    by_deadline: BTreeSet<(Uptime, TicketId)>,
    /// Requests dropped as too late that `expire` has not returned yet.
    expired: Vec<TicketId>,
    service_time: ServiceTimeEstimate,
    arrivals: u64,
    last_eviction: Uptime,
}

impl FairQueue {
    fn key(&mut self, name: &str, weight: f64) -> OrganisationKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key =
            self.organisations.insert(Organisation::new(name.into(), weight, self.virtual_time));
        self.keys.insert(name.into(), key);
        key
    }

    /// Changes an organisation and updates `backlogged` and `backlogged_weight` accordingly.
    fn update<T>(&mut self, key: OrganisationKey, f: impl FnOnce(&mut Organisation) -> T) -> T {
        let organisation = &mut self.organisations[key];
        if organisation.len() > 0 {
            self.backlogged.remove(&(organisation.virtual_time.to_bits(), key));
            self.backlogged_weight -= organisation.weight;
        }
        let result = f(organisation);
        if organisation.len() > 0 {
            self.backlogged.insert((organisation.virtual_time.to_bits(), key));
            self.backlogged_weight += organisation.weight;
        }
        if self.backlogged.is_empty() {
            self.backlogged_weight = 0.0;
        }
        result
    }

    /// Service time estimate of an organisation; that of the service until it has enough samples.
    fn estimate_for(&self, organisation: &Organisation) -> ServiceTimeEstimate {
        if organisation.service_time.samples() >= MIN_OWN_SAMPLES {
            organisation.service_time
        } else {
            self.service_time
        }
    }

    /// Whether a request that starts now can finish before this deadline if it is a fast one.
    fn can_meet_deadline(&self, now: Uptime, deadline: Uptime) -> bool {
        now + Duration::from_secs_f64(self.service_time.p10_s(now)) < deadline
    }

    /// Removes a queued request. Returns whether it was queued.
    fn remove(&mut self, id: TicketId) -> bool {
        let Some(queued) = self.queued.remove(&id) else {
            return false;
        };
        self.by_deadline.remove(&(queued.deadline, id));
        self.update(queued.organisation, |o| match queued.location {
            Location::Class(class, order) => o.remove(class, order),
            Location::Requeued => o.remove_requeued(id),
        });
        true
    }

    /// Moves the requests that can no longer meet their deadline to `expired`.
    fn collect_expired(&mut self, now: Uptime) {
        while let Some((deadline, id)) = self.by_deadline.first().copied() {
            if self.can_meet_deadline(now, deadline) {
                break;
            }
            self.remove(id);
            self.expired.push(id);
        }
    }

    /// Drops requests of an organisation that are likely to miss their deadline, as long as
    /// requests behind them are likely to meet theirs. Only done shortly after a refusal: under
    /// overload a slot is better spent on a later request.
    fn drop_likely_late(&mut self, now: Uptime, key: OrganisationKey) {
        let organisation = &self.organisations[key];
        if organisation.last_refusal.is_none_or(|at| at + OVERLOAD_PERIOD < now) {
            return;
        }
        let p98 = Duration::from_secs_f64(self.estimate_for(organisation).p98_s(now));
        while let Some(id) = self.organisations[key].first_late(now, p98) {
            self.remove(id);
            self.expired.push(id);
        }
    }

    /// Estimates the time in seconds until a request behind `ahead` others of its organisation
    /// starts.
    fn estimate_wait(&self, now: Uptime, key: OrganisationKey, ahead: usize, slots: u32) -> f64 {
        let organisation = &self.organisations[key];
        if let Some(wait) = organisation.measured_wait(now, ahead) {
            return wait;
        }
        let added = if organisation.len() > 0 { 0.0 } else { organisation.weight };
        let fraction = organisation.weight / (self.backlogged_weight + added);
        let mean = self.estimate_for(organisation).mean_s(now);
        ahead as f64 * mean / (f64::from(slots.max(1)) * fraction)
    }

    /// Checks that a request is likely to meet its deadline, from the estimated wait within its
    /// organisation and the 98th percentile of the service time. Without a measured wait, the
    /// organisation counts on its guaranteed fraction of the slots only. The error is the expected
    /// delay after the deadline, in seconds.
    fn check_deadline(
        &self,
        now: Uptime,
        key: OrganisationKey,
        t: &Ticket,
        slots: u32,
    ) -> Result<(), f64> {
        let organisation = &self.organisations[key];
        let left = t.deadline.saturating_sub(now).as_secs_f64();
        if !self.can_meet_deadline(now, t.deadline) {
            return Err(self.service_time.p10_s(now) - left);
        }
        if organisation.len() == 0 || slots == 0 {
            return Ok(());
        }
        // A request with a short deadline must not be refused because of the slowest responses.
        let service_time = self.estimate_for(organisation).p98_s(now).min(left / 2.0);
        if self.estimate_wait(now, key, organisation.len(), slots) + service_time <= left {
            return Ok(());
        }
        let ahead = organisation.count_ahead(t.deadline);
        let wait = self.estimate_wait(now, key, ahead, slots);
        if ahead == 0 || wait + service_time <= left {
            Ok(())
        } else {
            Err(wait + service_time - left)
        }
    }

    /// Drops the state of organisations that were idle for `IDLE_RETENTION`.
    fn evict_idle(&mut self, now: Uptime) {
        if now.saturating_sub(self.last_eviction) < IDLE_RETENTION {
            return;
        }
        self.last_eviction = now;
        let keys = &mut self.keys;
        self.organisations.retain(|_, o| {
            let keep = o.len() > 0 || now.saturating_sub(o.last_used) < IDLE_RETENTION;
            if !keep {
                keys.remove(&o.name);
            }
            keep
        });
    }
}

fn retry_after(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default().max(MIN_RETRY_AFTER)
}

impl Queue for FairQueue {
    fn push(&mut self, now: Uptime, ticket: Ticket, slots: u32) -> Result<(), QueueError> {
        self.evict_idle(now);
        let key = self.key(&ticket.organisation, ticket.organisation_weight);
        let len = self.organisations[key].len();
        let limit = MAX_QUEUED / (self.backlogged.len() + 1);
        if len >= MAX_QUEUED_PER_ORGANISATION.min(limit.max(MIN_QUEUE_LIMIT)) {
            let retry = retry_after(self.estimate_wait(now, key, len / 4, slots));
            self.organisations[key].last_refusal = Some(now);
            return Err(QueueError::Full { retry });
        }
        if let Err(excess_s) = self.check_deadline(now, key, &ticket, slots) {
            self.organisations[key].last_refusal = Some(now);
            return Err(QueueError::TooLate { retry: retry_after(excess_s) });
        }
        self.arrivals += 1;
        let order = (ticket.deadline, self.arrivals);
        let virtual_time = self.virtual_time;
        let class = self.update(key, |o| {
            if o.len() == 0 {
                o.virtual_time = o.virtual_time.max(virtual_time);
            }
            o.weight = ticket.organisation_weight;
            o.last_used = now;
            o.push(ticket.route_weight, order, ticket.id)
        });
        self.by_deadline.insert((ticket.deadline, ticket.id));
        let location = Location::Class(class, order);
        let queued = QueuedRequest { organisation: key, deadline: ticket.deadline, location };
        self.queued.insert(ticket.id, queued);
        Ok(())
    }

    fn pop(&mut self, now: Uptime) -> Option<TicketId> {
        self.collect_expired(now);
        let (_, key) = *self.backlogged.first()?;
        self.drop_likely_late(now, key);
        let organisation = &self.organisations[key];
        self.virtual_time = self.virtual_time.max(organisation.virtual_time);
        let cost = self.estimate_for(organisation).mean_s(now);
        let id = self.update(key, |o| {
            o.last_used = now;
            o.charge(cost);
            o.pop(now, cost)
        })?;
        if let Some(queued) = self.queued.remove(&id) {
            self.by_deadline.remove(&(queued.deadline, id));
        }
        Some(id)
    }

    fn requeue(&mut self, now: Uptime, ticket: Ticket) {
        let key = self.key(&ticket.organisation, ticket.organisation_weight);
        self.update(key, |o| {
            o.last_used = now;
            o.refund();
            o.requeue(ticket.id);
        });
        self.by_deadline.insert((ticket.deadline, ticket.id));
        let queued = QueuedRequest {
            organisation: key,
            deadline: ticket.deadline,
            location: Location::Requeued,
        };
        self.queued.insert(ticket.id, queued);
    }

    fn cancel(&mut self, _now: Uptime, id: TicketId) -> bool {
        if let Some(at) = self.expired.iter().position(|l| *l == id) {
            self.expired.swap_remove(at);
            return true;
        }
        self.remove(id)
    }

    fn expire(&mut self, now: Uptime) -> Vec<TicketId> {
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    fn record_usage(&mut self, now: Uptime, organisation: &str, used: Duration) {
        self.service_time.record(now, used);
        let Some(key) = self.keys.get(organisation).copied() else {
            return;
        };
        let mean = self.estimate_for(&self.organisations[key]).mean_s(now);
        self.update(key, |o| {
            o.last_used = now;
            o.refund();
            let max_cost = if mean > 0.0 { mean * MAX_COST_RATIO } else { f64::MAX };
            let cost = used.as_secs_f64().min(max_cost);
            o.service_time.record(now, Duration::from_secs_f64(cost));
            o.virtual_time += cost / o.weight;
        });
    }

    fn len(&self) -> usize {
        self.queued.len()
    }
}
