use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kernel::{OrganisationId, TicketId, Uptime};

use crate::ServiceTimeEstimate;

/// Maximum number of route weights that get a class of their own in an organisation; requests
/// with further weights join the last class.
const MAX_CLASSES: usize = 16;

/// EWMA weight of a new interval between two starts.
const INTERVAL_ALPHA: f64 = 1.0 / 32.0;

/// Age at which the mean interval between starts is no longer used.
const INTERVAL_MAX_AGE: Duration = Duration::from_secs(1);

/// A first request counts as late only if its time left is also below this fraction of the time
/// left to the last request of its class.
const LATE_FRACTION: f64 = 0.9;

/// Position of a request in its class: earliest deadline first, then in order of arrival.
pub(crate) type Order = (Uptime, u64);

/// Queued requests of the routes with one weight.
#[derive(Debug)]
struct Class {
    /// Weight of the routes. Above 0.
    weight: f64,
    /// Slot time used so far divided by `weight`, in seconds.
    virtual_time: f64,
    queued: BTreeMap<Order, TicketId>,
}

/// State of one organisation in the queue.
#[derive(Debug)]
pub(crate) struct Organisation {
    pub name: OrganisationId,
    /// Weight of the organisation. Above 0.
    pub weight: f64,
    /// Slot time used so far divided by `weight`, in seconds; estimated for requests in flight.
    pub virtual_time: f64,
    /// Number of requests taken out of the queue and not finished yet.
    pub in_flight: u32,
    /// Estimated slot time charged for the requests in flight, in seconds.
    pub charged_s: f64,
    /// Estimate from this organisation's own requests.
    pub service_time: ServiceTimeEstimate,
    /// Last time that a request of the organisation was queued, started, put back or finished.
    pub last_used: Uptime,
    /// Last time that a request was refused because the queue was full or the deadline too early.
    pub last_refusal: Option<Uptime>,
    /// Time of the last start; `None` if no request was left in the queue after it.
    last_start: Option<Uptime>,
    /// Mean time between two starts while requests are queued, in seconds, and the time of its
    /// last update; `None` before the second start.
    start_interval: Option<(f64, Uptime)>,
    classes: Vec<Class>,
    /// Highest virtual time of a class at the time it was served; never decreases.
    virtual_clock: f64,
    /// Requests that were taken out and put back; they are served first.
    requeued: VecDeque<TicketId>,
    /// Number of queued requests, including requeued ones.
    len: usize,
}

impl Organisation {
    pub fn new(name: OrganisationId, weight: f64, virtual_time: f64) -> Self {
        Organisation {
            name,
            weight,
            virtual_time,
            in_flight: 0,
            charged_s: 0.0,
            service_time: ServiceTimeEstimate::default(),
            last_used: Uptime::ZERO,
            last_refusal: None,
            last_start: None,
            start_interval: None,
            classes: Vec::new(),
            virtual_clock: 0.0,
            requeued: VecDeque::new(),
            len: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds a request and returns the index of its class.
    pub fn push(&mut self, weight: f64, order: Order, id: TicketId) -> usize {
        let known = self.classes.iter().position(|c| c.weight == weight);
        let at = known.unwrap_or_else(|| {
            if self.classes.len() < MAX_CLASSES {
                self.classes.push(Class { weight, virtual_time: 0.0, queued: BTreeMap::new() });
            }
            self.classes.len() - 1
        });
        let class = &mut self.classes[at];
        if class.queued.is_empty() {
            class.virtual_time = class.virtual_time.max(self.virtual_clock);
        }
        class.queued.insert(order, id);
        self.len += 1;
        at
    }

    /// Puts back a request that was taken out, ahead of all others.
    pub fn requeue(&mut self, id: TicketId) {
        self.requeued.push_front(id);
        self.len += 1;
    }

    /// Time until `ahead` queued requests have started, in seconds, at the recent rate of starts.
    ///
    /// `None` if there was no recent start from a backlog: an old interval that makes the queue
    /// refuse every request would never be measured again.
    pub fn measured_wait(&self, now: Uptime, ahead: usize) -> Option<f64> {
        let recent = |(_, at): &(f64, Uptime)| now <= *at + INTERVAL_MAX_AGE;
        self.start_interval.filter(recent).map(|(interval, _)| interval * ahead as f64)
    }

    /// Removes and returns the next request; `cost` is its estimated slot time in seconds.
    pub fn pop(&mut self, now: Uptime, cost: f64) -> Option<TicketId> {
        if let Some(last_start) = self.last_start {
            let interval = now.saturating_sub(last_start).as_secs_f64();
            let mean = self.measured_wait(now, 1).unwrap_or(interval);
            self.start_interval = Some((mean + INTERVAL_ALPHA * (interval - mean), now));
        }
        self.last_start = (self.len > 1).then_some(now);
        self.take_next(cost)
    }

    /// The next request, if it is likely to be late: its time left is below `service_time` and
    /// below `LATE_FRACTION` of the time left to the last request of its class. `None` if requests
    /// were put back, which are served first.
    pub fn first_late(&self, now: Uptime, service_time: Duration) -> Option<TicketId> {
        if !self.requeued.is_empty() {
            return None;
        }
        let backlogged = self.classes.iter().filter(|c| !c.queued.is_empty());
        let class = backlogged.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let ((first, _), id) = class.queued.first_key_value()?;
        let ((last, _), _) = class.queued.last_key_value()?;
        let margin = last.saturating_sub(now).mul_f64(LATE_FRACTION);
        (*first < now + service_time.min(margin)).then_some(*id)
    }

    fn take_next(&mut self, cost: f64) -> Option<TicketId> {
        if let Some(id) = self.requeued.pop_front() {
            self.len -= 1;
            return Some(id);
        }
        let backlogged = self.classes.iter_mut().filter(|c| !c.queued.is_empty());
        let class = backlogged.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let (_, id) = class.queued.pop_first()?;
        self.virtual_clock = self.virtual_clock.max(class.virtual_time);
        class.virtual_time += cost / class.weight;
        self.len -= 1;
        Some(id)
    }

    /// Removes a request from a class.
    pub fn remove(&mut self, class: usize, order: Order) {
        if self.classes[class].queued.remove(&order).is_some() {
            self.len -= 1;
        }
    }

    /// Removes a request that was put back.
    pub fn remove_requeued(&mut self, id: TicketId) {
        if let Some(at) = self.requeued.iter().position(|r| *r == id) {
            self.requeued.remove(at);
            self.len -= 1;
        }
    }

    /// Counts the queued requests that would be served before one with this deadline.
    pub fn count_ahead(&self, deadline: Uptime) -> usize {
        let earlier = |c: &Class| c.queued.range(..=(deadline, u64::MAX)).count();
        self.requeued.len() + self.classes.iter().map(earlier).sum::<usize>()
    }

    /// Charges the estimated slot time of a request that starts, in seconds.
    pub fn charge(&mut self, cost: f64) {
        self.in_flight += 1;
        self.charged_s += cost;
        self.virtual_time += cost / self.weight;
    }

    /// Refunds the mean charge of the requests in flight for one of them and returns it, in
    /// seconds; zero if none is in flight.
    pub fn refund(&mut self) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let cost = self.charged_s / f64::from(self.in_flight);
        self.in_flight -= 1;
        self.charged_s = if self.in_flight == 0 { 0.0 } else { self.charged_s - cost };
        self.virtual_time = (self.virtual_time - cost / self.weight).max(0.0);
        cost
    }
}
