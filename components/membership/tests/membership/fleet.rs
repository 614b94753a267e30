use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use kernel::{Incarnation, Place, VmEntry, VmState};
use membership::{Membership, MembershipAction, MembershipMessage, Peer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two ticks of a VM.
const TICK: u64 = 50;

/// One process start of a VM.
pub struct Vm {
    pub detector: Membership,
    pub entry: VmEntry,
    started: u64,
    pub running: bool,
    /// Time up to which the process is paused.
    pub frozen: u64,
    /// Messages that wait for the end of the pause.
    inbox: Vec<(Incarnation, MembershipMessage)>,
    /// Findings: time in ms and what was found.
    pub log: Vec<(u64, MembershipAction)>,
    pub sent_bytes: u64,
}

enum Event {
    Tick,
    Arrive(Incarnation, Box<MembershipMessage>),
}

/// VMs over a network with latency, loss and blocked directions.
pub struct Fleet {
    pub vms: Vec<Vm>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    numbers: u64,
    pub now: u64,
    pub rng: SmallRng,
    pub loss: f64,
    /// Whether the bytes of messages are counted, which takes most of the time of a run.
    pub weigh: bool,
    /// Pairs of VM numbers between which messages are lost, first to second.
    pub blocked: BTreeSet<(usize, usize)>,
}

impl Fleet {
    /// A fleet of `names` VMs in two regions that have all read the complete list.
    pub fn new(names: usize, seed: u64) -> Self {
        let mut fleet = Fleet {
            vms: Vec::new(),
            events: BTreeMap::new(),
            numbers: 0,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            weigh: false,
            blocked: BTreeSet::new(),
        };
        (0..names).for_each(|name| fleet.start(name));
        let list = fleet.list();
        for i in 0..names {
            fleet.seed(i, &list);
        }
        fleet
    }

    /// Starts a process of a VM name.
    pub fn start(&mut self, name: usize) {
        let number = self.vms.len();
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16));
        let place = Place { region: format!("r{}", name % 2).into(), domain: "d".into() };
        let vm = format!("vm{name}").into();
        let incarnation = self.rng.random_range(1..u64::MAX);
        let state = VmState::Live;
        let entry = VmEntry { vm, incarnation, place, callers: address, peers: address, state };
        let offset = self.rng.random_range(0..TICK);
        self.vms.push(Vm {
            detector: Membership::new(Duration::ZERO, entry.clone()),
            entry,
            started: self.now,
            running: true,
            frozen: 0,
            inbox: Vec::new(),
            log: Vec::new(),
            sent_bytes: 0,
        });
        self.schedule(self.now + offset, number, Event::Tick);
    }

    /// The entries of the processes that run now.
    pub fn list(&self) -> Vec<VmEntry> {
        self.vms.iter().filter(|v| v.running).map(|v| v.entry.clone()).collect()
    }

    /// Gives a VM the platform's list.
    pub fn seed(&mut self, vm: usize, list: &[VmEntry]) {
        let now = self.uptime(vm);
        let actions = self.vms[vm].detector.seed(now, list);
        self.act(vm, actions);
    }

    pub fn uptime(&self, vm: usize) -> Duration {
        Duration::from_millis(self.now - self.vms[vm].started)
    }

    fn schedule(&mut self, at: u64, vm: usize, event: Event) {
        self.numbers += 1;
        self.events.insert((at, self.numbers), (vm, event));
    }

    fn act(&mut self, vm: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.send(vm, to, message),
                found => self.vms[vm].log.push((self.now, found)),
            }
        }
    }

    fn send(&mut self, from: usize, to: Peer, message: Box<MembershipMessage>) {
        if self.weigh {
            let bytes = serde_json::to_vec(&message).expect("messages have a JSON form").len();
            for update in &message.updates {
                let size = serde_json::to_vec(update).expect("updates have a JSON form").len();
                assert!(size <= update.size(), "{size} bytes for {update:?}");
            }
            self.vms[from].sent_bytes += bytes as u64;
        }
        let at = usize::from(to.address.port()) - 10_000;
        if self.blocked.contains(&(from, at)) || self.rng.random_bool(self.loss) {
            return;
        }
        let far = self.vms[from].entry.place != self.vms[at].entry.place;
        let latency = if far { 30 } else { 1 } + self.rng.random_range(0..3);
        let incarnation = self.vms[from].entry.incarnation;
        self.schedule(self.now + latency, at, Event::Arrive(incarnation, message));
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (vm, event) = entry.remove();
            self.now = at;
            if !self.vms[vm].running {
                continue;
            }
            let paused = self.vms[vm].frozen > at;
            let now = self.uptime(vm);
            match event {
                Event::Tick if paused => self.schedule(self.vms[vm].frozen, vm, Event::Tick),
                Event::Tick => {
                    // The tick comes before the messages of a pause: the harder order.
                    let actions = self.vms[vm].detector.tick(now, &mut self.rng);
                    self.act(vm, actions);
                    for (from, message) in std::mem::take(&mut self.vms[vm].inbox) {
                        self.take(vm, from, message);
                    }
                    self.schedule(at + TICK, vm, Event::Tick);
                }
                Event::Arrive(from, message) if paused => {
                    self.vms[vm].inbox.push((from, *message));
                }
                Event::Arrive(from, message) => self.take(vm, from, *message),
            }
        }
        self.now = end;
    }

    fn take(&mut self, vm: usize, from: Incarnation, message: MembershipMessage) {
        let now = self.uptime(vm);
        let actions = self.vms[vm].detector.receive(now, from, message, &mut self.rng);
        self.act(vm, actions);
    }

    /// Whether `viewer` takes `vm` for live.
    pub fn sees(&self, viewer: usize, vm: usize) -> bool {
        let incarnation = self.vms[vm].entry.incarnation;
        self.vms[viewer].detector.live().any(|e| e.incarnation == incarnation)
    }

    /// Pairs of a running viewer and a process that it sees wrongly.
    pub fn wrong(&self) -> Vec<(usize, usize)> {
        let running = |i: &usize| self.vms[*i].running;
        let all = 0..self.vms.len();
        let viewers = all.clone().filter(running);
        let pairs = viewers.flat_map(|v| all.clone().map(move |i| (v, i)));
        pairs.filter(|(v, i)| self.sees(*v, *i) != self.vms[*i].running).collect()
    }

    /// Deaths found, as (time, viewer, process).
    pub fn deaths(&self) -> Vec<(u64, usize, Incarnation)> {
        let all = self.vms.iter().enumerate().flat_map(|(i, v)| v.log.iter().map(move |l| (i, l)));
        let death = |(i, (at, found)): (usize, &(u64, MembershipAction))| match found {
            MembershipAction::Died { incarnation } => Some((*at, i, *incarnation)),
            _ => None,
        };
        all.filter_map(death).collect()
    }
}
