use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kernel::{OrganisationId, TicketId, Uptime};

use crate::ServiceTime;

/// Most route weights told apart inside an organisation; further ones join the last class.
const MOST_CLASSES: usize = 16;

/// Weight of a new interval between two starts.
const INTERVAL_GAIN: f64 = 1.0 / 32.0;

/// Part of the time left to the last request that the first one must have, where that is less than
/// what nearly all answers need.
const MOST_LEFT: f64 = 0.9;

/// Position of a ticket in its class: earliest deadline first, then in order of arrival.
pub(crate) type Order = (Uptime, u64);

/// Waiting requests of one route weight.
#[derive(Debug)]
struct Class {
    /// Weight of the routes. Above 0.
    weight: f64,
    /// Virtual time up to which the class has been served.
    virt: f64,
    waiting: BTreeMap<Order, TicketId>,
}

/// What the queue knows of one organisation.
#[derive(Debug)]
pub(crate) struct Organisation {
    /// Name, to forget it by.
    pub name: OrganisationId,
    /// Weight of the organisation. Above 0.
    pub share: f64,
    /// Slot time used so far over `share`, in seconds, with estimates for running requests.
    pub virt: f64,
    /// Requests taken out of the queue and not yet finished.
    pub running: u32,
    /// Estimated slot time charged for the running requests, in seconds.
    pub charged: f64,
    /// Measured time of this organisation's requests.
    pub time: ServiceTime,
    /// Time of the last call that named it.
    pub touched: Uptime,
    /// Last time that one of its requests was refused for want of room or time.
    pub refused: Option<Uptime>,
    /// Start of its last request; none if nothing waits behind it.
    popped: Option<Uptime>,
    /// Mean time between two starts while requests wait, in seconds; none before the first two.
    interval: Option<f64>,
    classes: Vec<Class>,
    /// Virtual time of the classes: that of the class served last.
    class_virt: f64,
    /// Requests that were put back; they go first.
    returned: VecDeque<TicketId>,
    /// Number of waiting requests, returned ones included.
    len: usize,
}

impl Organisation {
    pub fn new(name: OrganisationId, share: f64, virt: f64) -> Self {
        Organisation {
            name,
            share,
            virt,
            running: 0,
            charged: 0.0,
            time: ServiceTime::default(),
            touched: Uptime::ZERO,
            refused: None,
            popped: None,
            interval: None,
            classes: Vec::new(),
            class_virt: 0.0,
            returned: VecDeque::new(),
            len: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds a request and returns the class that it waits in.
    pub fn push(&mut self, weight: f64, order: Order, id: TicketId) -> usize {
        let known = self.classes.iter().position(|c| c.weight == weight);
        let at = known.unwrap_or_else(|| {
            if self.classes.len() < MOST_CLASSES {
                self.classes.push(Class { weight, virt: 0.0, waiting: BTreeMap::new() });
            }
            self.classes.len() - 1
        });
        let class = &mut self.classes[at];
        if class.waiting.is_empty() {
            class.virt = class.virt.max(self.class_virt);
        }
        class.waiting.insert(order, id);
        self.len += 1;
        at
    }

    pub fn put_back(&mut self, id: TicketId) {
        self.returned.push_front(id);
        self.len += 1;
    }

    /// Time until `ahead` waiting requests have started, in seconds, as they did lately.
    pub fn measured_wait(&self, ahead: usize) -> Option<f64> {
        self.interval.map(|interval| interval * ahead as f64)
    }

    /// Takes out the next request; `cost` is its estimated slot time in seconds.
    pub fn pop(&mut self, now: Uptime, cost: f64) -> Option<TicketId> {
        if let Some(popped) = self.popped {
            let interval = now.saturating_sub(popped).as_secs_f64();
            let mean = self.interval.unwrap_or(interval);
            self.interval = Some(mean + INTERVAL_GAIN * (interval - mean));
        }
        self.popped = (self.len > 1).then_some(now);
        self.take(cost)
    }

    /// The request that is taken out next, if it has less time left than `high` and than most of
    /// what the last one of its class has; none if one was put back.
    pub fn first_late(&self, now: Uptime, high: Duration) -> Option<TicketId> {
        if !self.returned.is_empty() {
            return None;
        }
        let backlogged = self.classes.iter().filter(|c| !c.waiting.is_empty());
        let class = backlogged.min_by(|a, b| a.virt.total_cmp(&b.virt))?;
        let ((first, _), id) = class.waiting.first_key_value()?;
        let ((last, _), _) = class.waiting.last_key_value()?;
        let most = last.saturating_sub(now).mul_f64(MOST_LEFT);
        (*first < now + high.min(most)).then_some(*id)
    }

    fn take(&mut self, cost: f64) -> Option<TicketId> {
        if let Some(id) = self.returned.pop_front() {
            self.len -= 1;
            return Some(id);
        }
        let backlogged = self.classes.iter_mut().filter(|c| !c.waiting.is_empty());
        let class = backlogged.min_by(|a, b| a.virt.total_cmp(&b.virt))?;
        let (_, id) = class.waiting.pop_first()?;
        self.class_virt = self.class_virt.max(class.virt);
        class.virt += cost / class.weight;
        self.len -= 1;
        Some(id)
    }

    /// Takes out a request that waits in a class.
    pub fn remove(&mut self, class: usize, order: Order) {
        if self.classes[class].waiting.remove(&order).is_some() {
            self.len -= 1;
        }
    }

    /// Takes out a request that was put back.
    pub fn remove_returned(&mut self, id: TicketId) {
        if let Some(at) = self.returned.iter().position(|r| *r == id) {
            self.returned.remove(at);
            self.len -= 1;
        }
    }

    /// Number of requests that run before one with this deadline.
    pub fn ahead(&self, deadline: Uptime) -> usize {
        let earlier = |c: &Class| c.waiting.range(..=(deadline, u64::MAX)).count();
        self.returned.len() + self.classes.iter().map(earlier).sum::<usize>()
    }

    /// Charges the estimated slot time of a request that starts.
    pub fn charge(&mut self, cost: f64) {
        self.running += 1;
        self.charged += cost;
        self.virt += cost / self.share;
    }

    /// Takes back the estimate of one running request, in seconds; zero if none runs.
    pub fn discharge(&mut self) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let cost = self.charged / f64::from(self.running);
        self.running -= 1;
        self.charged = if self.running == 0 { 0.0 } else { self.charged - cost };
        self.virt = (self.virt - cost / self.share).max(0.0);
        cost
    }
}
