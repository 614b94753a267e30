use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use kernel::{Incarnation, Place, VmEntry, VmState};
use membership::{Membership, MembershipAction, MembershipMessage, PeerAddress};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval between two ticks of a VM.
const TICK_MS: u64 = 50;

/// One process start of a VM.
pub struct Vm {
    pub detector: Membership,
    pub entry: VmEntry,
    started: u64,
    pub running: bool,
    /// End of the pause of the process.
    pub paused_until: u64,
    /// Messages received during the pause.
    inbox: Vec<(Incarnation, MembershipMessage)>,
    /// Membership changes that it reported, with the time in ms.
    pub log: Vec<(u64, MembershipAction)>,
    pub sent_bytes: u64,
}

enum Event {
    Tick,
    Arrive(Incarnation, Box<MembershipMessage>),
}

/// Simulated VMs on a network with latency, loss and blocked directions.
pub struct Fleet {
    pub vms: Vec<Vm>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    next_event: u64,
    pub now: u64,
    pub rng: SmallRng,
    pub loss: f64,
    /// Whether sent bytes are counted, which takes most of the time of a run.
    pub count_bytes: bool,
    /// Pairs of VM indices: messages from the first to the second are lost.
    pub blocked: BTreeSet<(usize, usize)>,
}

impl Fleet {
    /// Creates `names` VMs in two regions, which have all read the complete list.
    pub fn new(names: usize, seed: u64) -> Self {
        let mut fleet = Fleet {
            vms: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            count_bytes: false,
            blocked: BTreeSet::new(),
        };
        (0..names).for_each(|name| fleet.start(name));
        let list = fleet.list();
        for i in 0..names {
            fleet.seed(i, &list);
        }
        fleet
    }

    /// Starts a process of the VM `name`.
    pub fn start(&mut self, name: usize) {
        let number = self.vms.len();
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16));
        let place = Place { region: format!("r{}", name % 2).into(), domain: "d".into() };
        let vm = format!("vm{name}").into();
        let incarnation = self.rng.random_range(1..u64::MAX);
        let state = VmState::Live;
        let entry = VmEntry { vm, incarnation, place, callers: address, peers: address, state };
        let offset = self.rng.random_range(0..TICK_MS);
        self.vms.push(Vm {
            detector: Membership::new(Duration::ZERO, entry.clone()),
            entry,
            started: self.now,
            running: true,
            paused_until: 0,
            inbox: Vec::new(),
            log: Vec::new(),
            sent_bytes: 0,
        });
        self.schedule(self.now + offset, number, Event::Tick);
    }

    /// The entries of the running processes.
    pub fn list(&self) -> Vec<VmEntry> {
        self.vms.iter().filter(|v| v.running).map(|v| v.entry.clone()).collect()
    }

    /// Merges the platform's list into the view of a VM.
    pub fn seed(&mut self, vm: usize, list: &[VmEntry]) {
        let now = self.uptime(vm);
        let actions = self.vms[vm].detector.merge_list(now, list);
        self.apply(vm, actions);
    }

    pub fn uptime(&self, vm: usize) -> Duration {
        Duration::from_millis(self.now - self.vms[vm].started)
    }

    fn schedule(&mut self, at: u64, vm: usize, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), (vm, event));
    }

    fn apply(&mut self, vm: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.send(vm, to, message),
                found => self.vms[vm].log.push((self.now, found)),
            }
        }
    }

    fn send(&mut self, from: usize, to: PeerAddress, message: Box<MembershipMessage>) {
        if self.count_bytes {
            let bytes = serde_json::to_vec(&message).expect("messages have a JSON form").len();
            for update in &message.updates {
                let size = serde_json::to_vec(update).expect("updates have a JSON form").len();
                assert!(size <= update.max_bytes(), "{size} bytes for {update:?}");
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

    /// Advances the virtual time.
    pub fn advance(&mut self, ms: u64) {
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
            let paused = self.vms[vm].paused_until > at;
            let now = self.uptime(vm);
            match event {
                Event::Tick if paused => self.schedule(self.vms[vm].paused_until, vm, Event::Tick),
                Event::Tick => {
                    // The tick runs before the messages received during a pause, the harder order.
                    let actions = self.vms[vm].detector.tick(now, &mut self.rng);
                    self.apply(vm, actions);
                    for (from, message) in std::mem::take(&mut self.vms[vm].inbox) {
                        self.receive(vm, from, message);
                    }
                    self.schedule(at + TICK_MS, vm, Event::Tick);
                }
                Event::Arrive(from, message) if paused => {
                    self.vms[vm].inbox.push((from, *message));
                }
                Event::Arrive(from, message) => self.receive(vm, from, *message),
            }
        }
        self.now = end;
    }

    fn receive(&mut self, vm: usize, from: Incarnation, message: MembershipMessage) {
        let now = self.uptime(vm);
        let actions = self.vms[vm].detector.receive(now, from, message, &mut self.rng);
        self.apply(vm, actions);
    }

    /// Whether `viewer` counts `vm` as live.
    pub fn sees(&self, viewer: usize, vm: usize) -> bool {
        let incarnation = self.vms[vm].entry.incarnation;
        self.vms[viewer].detector.live().any(|e| e.incarnation == incarnation)
    }

    /// Pairs of a running viewer and a process whose state it has wrong.
    pub fn wrong_views(&self) -> Vec<(usize, usize)> {
        let running = |i: &usize| self.vms[*i].running;
        let all = 0..self.vms.len();
        let viewers = all.clone().filter(running);
        let pairs = viewers.flat_map(|v| all.clone().map(move |i| (v, i)));
        pairs.filter(|(v, i)| self.sees(*v, *i) != self.vms[*i].running).collect()
    }

    /// Deaths reported, as (time, viewer, process).
    pub fn deaths(&self) -> Vec<(u64, usize, Incarnation)> {
        let all = self.vms.iter().enumerate().flat_map(|(i, v)| v.log.iter().map(move |l| (i, l)));
        let death = |(i, (at, found)): (usize, &(u64, MembershipAction))| match found {
            MembershipAction::Died { incarnation } => Some((*at, i, *incarnation)),
            _ => None,
        };
        all.filter_map(death).collect()
    }
}
