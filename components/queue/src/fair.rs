use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use kernel::{OrganisationId, Queue, QueueError, QueuePlugin, Ticket, TicketId, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::ServiceTime;
use crate::organisation::{Order, Organisation};

/// Most waiting requests of one organisation: 3 s of work at 40 slots and 50 ms and some reserve.
const LONGEST: usize = 1024;
/// Most waiting requests of all organisations; above it each one's part shrinks.
const LONGEST_ALL: usize = 65_536;
/// Least part of an organisation, however many wait.
const SHORTEST: usize = 8;
/// A request is charged at most this many times its organisation's mean, so that a request that
/// hung on a gray backend server does not block its organisation for seconds.
const DEAREST: f64 = 10.0;
/// Samples that an organisation's own estimate needs before it replaces that of the service.
const OWN_SAMPLES: u32 = 16;
/// Idle time after which an organisation is forgotten.
const FORGET: Duration = Duration::from_secs(60);
/// Time after a refusal in which an organisation counts as asking for more than it can get.
const PRESSED: Duration = Duration::from_secs(1);
/// Shortest retry time given to a caller.
const RETRY_LEAST: Duration = Duration::from_millis(50);

inventory::submit! {
    QueuePlugin { name: "fair", build: |_| Box::new(FairQueue::default()) }
}

new_key_type! {
    /// Key of an organisation in a queue.
    struct OrganisationKey;
}

#[derive(Clone, Copy, Debug)]
enum Spot {
    /// In a class of its organisation.
    Class(usize, Order),
    /// Among those put back.
    Returned,
}

#[derive(Debug)]
struct Waiting {
    organisation: OrganisationKey,
    deadline: Uptime,
    spot: Spot,
}

/// Weighted max-min over organisations by the virtual time of the slot time that they used.
///
/// An organisation's virtual time is its slot time over its share; the backlogged organisation
/// with the least virtual time is served next. One that was idle starts at the virtual time of the
/// service, so that it banks no credit.
#[derive(Debug, Default)]
pub struct FairQueue {
    organisations: SlotMap<OrganisationKey, Organisation>,
    names: HashMap<OrganisationId, OrganisationKey>,
    /// Organisations with waiting requests by the bits of their virtual time, which is not
    /// negative, so that the order of the bits is that of the numbers.
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Sum of the shares of `active`.
    shares: f64,
    /// Virtual time of the organisation served last. Never decreases.
    virt: f64,
    waiting: HashMap<TicketId, Waiting>,
    /// Waiting requests by deadline.
    due: BTreeSet<(Uptime, TicketId)>,
    /// Requests that `pop` found to be too late and `expire` has not yet returned.
    lapsed: Vec<TicketId>,
    time: ServiceTime,
    arrivals: u64,
    swept: Uptime,
}

impl FairQueue {
    fn key(&mut self, name: &str, share: f64) -> OrganisationKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.organisations.insert(Organisation::new(name.into(), share, self.virt));
        self.names.insert(name.into(), key);
        key
    }

    /// Changes an organisation and keeps `active` and `shares` in step with it.
    fn change<T>(&mut self, key: OrganisationKey, f: impl FnOnce(&mut Organisation) -> T) -> T {
        let organisation = &mut self.organisations[key];
        if organisation.len() > 0 {
            self.active.remove(&(organisation.virt.to_bits(), key));
            self.shares -= organisation.share;
        }
        let result = f(organisation);
        if organisation.len() > 0 {
            self.active.insert((organisation.virt.to_bits(), key));
            self.shares += organisation.share;
        }
        if self.active.is_empty() {
            self.shares = 0.0;
        }
        result
    }

    /// The estimate to use for an organisation.
    fn time_of(&self, organisation: &Organisation) -> ServiceTime {
        if organisation.time.samples() >= OWN_SAMPLES { organisation.time } else { self.time }
    }

    /// Whether a request with this deadline can still be in time if it starts now.
    fn can_start(&self, now: Uptime, deadline: Uptime) -> bool {
        now + Duration::from_secs_f64(self.time.low(now)) < deadline
    }

    /// Takes out a waiting request and returns whether it was there.
    fn remove(&mut self, id: TicketId) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else {
            return false;
        };
        self.due.remove(&(waiting.deadline, id));
        self.change(waiting.organisation, |o| match waiting.spot {
            Spot::Class(class, order) => o.remove(class, order),
            Spot::Returned => o.remove_returned(id),
        });
        true
    }

    fn lapse(&mut self, now: Uptime) {
        while let Some((deadline, id)) = self.due.first().copied() {
            if self.can_start(now, deadline) {
                break;
            }
            self.remove(id);
            self.lapsed.push(id);
        }
    }

    /// Drops the requests of an organisation that are likely to be late, as long as others wait
    /// behind them that are not. Only after a refusal, when it asks for more than it can get: then
    /// a slot is better spent on a later request.
    fn skip_late(&mut self, now: Uptime, key: OrganisationKey) {
        let organisation = &self.organisations[key];
        if organisation.refused.is_none_or(|at| at + PRESSED < now) {
            return;
        }
        let high = Duration::from_secs_f64(self.time_of(organisation).high(now));
        while let Some(id) = self.organisations[key].first_late(now, high) {
            self.remove(id);
            self.lapsed.push(id);
        }
    }

    /// Time until a request behind `ahead` others of its organisation starts, in seconds.
    fn wait(&self, now: Uptime, key: OrganisationKey, ahead: usize, slots: u32) -> f64 {
        let organisation = &self.organisations[key];
        if let Some(wait) = organisation.measured_wait(now, ahead) {
            return wait;
        }
        let own = if organisation.len() > 0 { 0.0 } else { organisation.share };
        let part = organisation.share / (self.shares + own);
        let mean = self.time_of(organisation).mean(now);
        ahead as f64 * mean / (f64::from(slots.max(1)) * part)
    }

    /// Refuses what would be late: by the wait of its own organisation at its guaranteed part of
    /// the slots, and by a service time that most requests keep to.
    fn check(&self, now: Uptime, key: OrganisationKey, t: &Ticket, slots: u32) -> Result<(), f64> {
        let organisation = &self.organisations[key];
        let left = t.deadline.saturating_sub(now).as_secs_f64();
        if !self.can_start(now, t.deadline) {
            return Err(self.time.low(now) - left);
        }
        if organisation.len() == 0 || slots == 0 {
            return Ok(());
        }
        // Callers that allow little time must not be refused for the slowest answers.
        let high = self.time_of(organisation).high(now).min(left / 2.0);
        if self.wait(now, key, organisation.len(), slots) + high <= left {
            return Ok(());
        }
        let ahead = organisation.ahead(t.deadline);
        let wait = self.wait(now, key, ahead, slots);
        if ahead == 0 || wait + high <= left { Ok(()) } else { Err(wait + high - left) }
    }

    fn sweep(&mut self, now: Uptime) {
        if now.saturating_sub(self.swept) < FORGET {
            return;
        }
        self.swept = now;
        let names = &mut self.names;
        self.organisations.retain(|_, o| {
            let keep = o.len() > 0 || now.saturating_sub(o.touched) < FORGET;
            if !keep {
                names.remove(&o.name);
            }
            keep
        });
    }
}

fn retry_after(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default().max(RETRY_LEAST)
}

impl Queue for FairQueue {
    fn push(&mut self, now: Uptime, ticket: Ticket, slots: u32) -> Result<(), QueueError> {
        self.sweep(now);
        let key = self.key(&ticket.organisation, ticket.organisation_weight);
        let len = self.organisations[key].len();
        let part = LONGEST_ALL / (self.active.len() + 1);
        if len >= LONGEST.min(part.max(SHORTEST)) {
            let retry = retry_after(self.wait(now, key, len / 4, slots));
            self.organisations[key].refused = Some(now);
            return Err(QueueError::Full { retry });
        }
        if let Err(over) = self.check(now, key, &ticket, slots) {
            self.organisations[key].refused = Some(now);
            return Err(QueueError::TooLate { retry: retry_after(over) });
        }
        self.arrivals += 1;
        let order = (ticket.deadline, self.arrivals);
        let virt = self.virt;
        let class = self.change(key, |o| {
            if o.len() == 0 {
                o.virt = o.virt.max(virt);
            }
            o.share = ticket.organisation_weight;
            o.touched = now;
            o.push(ticket.route_weight, order, ticket.id)
        });
        self.due.insert((ticket.deadline, ticket.id));
        let spot = Spot::Class(class, order);
        let waiting = Waiting { organisation: key, deadline: ticket.deadline, spot };
        self.waiting.insert(ticket.id, waiting);
        Ok(())
    }

    fn pop(&mut self, now: Uptime) -> Option<TicketId> {
        self.lapse(now);
        let (_, key) = *self.active.first()?;
        self.skip_late(now, key);
        let organisation = &self.organisations[key];
        self.virt = self.virt.max(organisation.virt);
        let cost = self.time_of(organisation).mean(now);
        let id = self.change(key, |o| {
            o.touched = now;
            o.charge(cost);
            o.pop(now, cost)
        })?;
        if let Some(waiting) = self.waiting.remove(&id) {
            self.due.remove(&(waiting.deadline, id));
        }
        Some(id)
    }

    fn requeue(&mut self, now: Uptime, ticket: Ticket) {
        let key = self.key(&ticket.organisation, ticket.organisation_weight);
        self.change(key, |o| {
            o.touched = now;
            o.discharge();
            o.put_back(ticket.id);
        });
        self.due.insert((ticket.deadline, ticket.id));
        let waiting =
            Waiting { organisation: key, deadline: ticket.deadline, spot: Spot::Returned };
        self.waiting.insert(ticket.id, waiting);
    }

    fn cancel(&mut self, _now: Uptime, id: TicketId) -> bool {
        if let Some(at) = self.lapsed.iter().position(|l| *l == id) {
            self.lapsed.swap_remove(at);
            return true;
        }
        self.remove(id)
    }

    fn expire(&mut self, now: Uptime) -> Vec<TicketId> {
        self.lapse(now);
        std::mem::take(&mut self.lapsed)
    }

    fn record_usage(&mut self, now: Uptime, organisation: &str, used: Duration) {
        self.time.add(now, used);
        let Some(key) = self.names.get(organisation).copied() else {
            return;
        };
        let mean = self.time_of(&self.organisations[key]).mean(now);
        self.change(key, |o| {
            o.touched = now;
            o.discharge();
            let dearest = if mean > 0.0 { mean * DEAREST } else { f64::MAX };
            let cost = used.as_secs_f64().min(dearest);
            o.time.add(now, Duration::from_secs_f64(cost));
            o.virt += cost / o.share;
        });
    }

    fn len(&self) -> usize {
        self.waiting.len()
    }
}
