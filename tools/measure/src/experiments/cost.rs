//! Cost of the control plane to a VM: memory, CPU time and bytes per second.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use config::{Change, Delta};
use config::{FleetConfig, Key, KeyDigest, Lookup, Organisation, Route, Service, replay};
use kernel::prelude::*;
use kernel::{BackendLimits, VmContext, VmEntry, VmState, build_limiter};
use membership::{
    MemberStatus, Membership, MembershipAction, MembershipMessage, MessageKind, Update,
    VmDescription,
};
use peers::{Message, MessageBatch};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::Options;
use crate::figure::{Bound, Figure};

/// Target for the memory of the control plane at the design size, in MB.
const TARGET_MB: f64 = 128.0;
/// Target for the CPU time of the control plane, in percent of a core.
const TARGET_CPU_PERCENT: f64 = 2.5;
/// Target for the traffic of the control plane, in KB per second.
const TARGET_KB_PER_S: f64 = 16.0;
/// Bytes on the wire of the framing and envelope of a tarpc call and its response.
const CALL_OVERHEAD_BYTES: usize = 260;
/// Organisations whose requests reach one VM. Each of the 480,000 organisations is active on its 16
/// rate holders and some 10 homes, spread over 5,800 VMs; four times that for VMs of the largest
/// services.
const ACTIVE_ORGANISATIONS: usize = 10_000;
/// Configuration changes per day at the design size.
const CHANGES_PER_DAY: f64 = 11_000.0;

/// Measures the cost for each organisation, backend server, route and VM, and the cost at the design
/// size.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    // Runs first: later, the allocator would reuse freed memory, which resident memory cannot show.
    let mut figures = measure_peer_memory()?;
    figures.extend(measure_config_memory()?);
    figures.extend(measure_requests(options)?);
    figures.extend(measure_gossip(options)?);
    Ok(figures)
}

/// Returns the resident memory of this process in MB.
fn resident_mb() -> anyhow::Result<f64> {
    /// Size of a memory page.
    const PAGE_BYTES: f64 = 4096.0;
    let text =
        std::fs::read_to_string("/proc/self/statm").context("cannot read /proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("/proc/self/statm has no resident size")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES / 1e6)
}

fn organisation_id(i: usize) -> OrganisationId {
    format!("organisation-{i:06}").into()
}

fn build_config(
    organisations: usize,
    routes: usize,
    services: usize,
    backends_each: usize,
) -> FleetConfig {
    let mut config = FleetConfig { version: 1, ..FleetConfig::default() };
    for i in 0..organisations {
        let rate = Rate { per_second: 10.0, burst: 20.0 };
        let organisation = Organisation { rate, weight: 1.0 };
        config.organisations.insert(organisation_id(i).into(), organisation);
        let mut digest = [0; 32];
        digest[..8].copy_from_slice(&(i as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes());
        let key = Key { organisation: organisation_id(i).into(), withdrawn: false };
        config.keys.insert(KeyDigest::from_bytes(digest), key);
    }
    for s in 0..services {
        let backends = (0..backends_each).map(|b| BackendSpec {
            id: format!("backend-{b:03}").into(),
            address: SocketAddr::from((Ipv4Addr::new(127, 1, 1, 1), 9000)),
            place: Place { region: "norrland".into(), domain: "umea-a".into() },
            limits: BackendLimits { slots: 4, connections: 400 },
            draining: false,
        });
        let service = Service { min_healthy: 0.6, backends: backends.collect() };
        config.services.insert(format!("service-{s:04}").into(), service);
    }
    for r in 0..routes {
        let route = Route {
            prefix: format!("/service-{:04}/part-{r:05}", r % services.max(1)).into(),
            methods: Vec::new(),
            service: format!("service-{:04}", r % services.max(1)).into(),
            public: false,
            idempotent: true,
            weight: 1.0,
            deadline: Duration::from_secs(3),
            organisations: Vec::new(),
        };
        config.routes.insert(format!("route-{r:05}").into(), route);
    }
    config
}

/// Measures the memory of the configuration and of the limiter at the design size, both held by this
/// process.
fn measure_config_memory() -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    let mut push = |name: &str, unit, target, value| {
        let mut figure = Figure::new(name, unit, target);
        figure.chosen.push(value);
        figures.push(figure);
    };
    let start = resident_mb()?;
    let config = Arc::new(build_config(480_000, 0, 0, 0));
    let organisations = resident_mb()?;
    push("an organisation with one key", "bytes", None, (organisations - start) * 1e6 / 480e3);
    let services = build_config(0, 0, 1_800, 46).services;
    let backends = resident_mb()?;
    push("a backend server", "bytes", None, (backends - organisations) * 1e6 / (1_800.0 * 46.0));
    let rest = build_config(0, 54_000, 1_800, 0);
    let routes = resident_mb()?;
    push("a route", "bytes", None, (routes - backends) * 1e6 / 54e3);
    let config =
        Arc::new(FleetConfig { routes: rest.routes, services, ..Arc::unwrap_or_clone(config) });
    let lookup = Lookup::new(Arc::clone(&config));
    let indexed = resident_mb()?;
    push("indexes of the routes", "MB", None, indexed - routes);
    let context = VmContext { incarnation: 1, vms: 5_800 };
    let mut limiter = build_limiter("shares", &context)?;
    for (id, organisation) in config.organisations.iter().take(ACTIVE_ORGANISATIONS) {
        limiter.set_rate(Duration::ZERO, id, Some(organisation.rate));
    }
    let with_limiter = resident_mb()?;
    // A VM stores only the rates of organisations whose requests have reached it.
    push(
        "a rate that the limiter knows",
        "bytes",
        None,
        (with_limiter - indexed) * 1e6 / ACTIVE_ORGANISATIONS as f64,
    );
    let bound = Some((Bound::AtMost, TARGET_MB));
    push("configuration and limiter at the design size", "MB", bound, with_limiter - start);

    let began = Instant::now();
    let changed = apply_change(&config)?;
    let copy_time = began.elapsed();
    let began = Instant::now();
    black_box(Lookup::new(Arc::new(changed)));
    let index_time = began.elapsed();
    push(
        "one change at the design size, copy and apply",
        "ms",
        None,
        copy_time.as_secs_f64() * 1e3,
    );
    push("one change at the design size, indexes", "ms", None, index_time.as_secs_f64() * 1e3);
    let share = (copy_time + index_time).as_secs_f64() * CHANGES_PER_DAY / 86_400.0 * 100.0;
    push("11,000 changes a day", "% core", Some((Bound::AtMost, TARGET_CPU_PERCENT)), share);
    black_box(lookup);
    Ok(figures)
}

fn apply_change(config: &FleetConfig) -> anyhow::Result<FleetConfig> {
    let organisation = Organisation { rate: Rate { per_second: 5.0, burst: 5.0 }, weight: 1.0 };
    let change = Change::PutOrganisation { id: organisation_id(7), organisation };
    let delta =
        Delta { version: config.version + 1, change_id: "cost".into(), changes: vec![change] };
    let mut next = config.clone();
    anyhow::ensure!(
        replay(&mut next, &delta),
        "the delta does not apply to configuration version {}",
        config.version
    );
    Ok(next)
}

/// Measures the CPU time of the route and key lookup of a request.
fn measure_requests(options: &Options) -> anyhow::Result<Vec<Figure>> {
    const COUNT: u32 = 200_000;
    let config = Arc::new(build_config(10_000, 5_000, 100, 10));
    let lookup = Lookup::new(Arc::clone(&config));
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let began = Instant::now();
    for _ in 0..COUNT {
        let route = rng.next_u32() % 5_000;
        let path = format!("/service-{:04}/part-{route:05}/item", route % 100);
        if let Some(found) = lookup.find_route("GET", &path) {
            black_box(lookup.authorize(found.route, Some(b"a key that is not known")));
        }
    }
    let mut figure = Figure::new("route and key of one request", "us", None);
    figure.chosen.push(began.elapsed().as_secs_f64() * 1e6 / f64::from(COUNT));
    Ok(vec![figure])
}

fn vm_entry(i: u64) -> VmEntry {
    let host = Ipv4Addr::from(0x7F01_0000 + i as u32);
    VmEntry {
        vm: format!("vm-{i}").into(),
        incarnation: i + 1,
        place: Place { region: "norrland".into(), domain: "umea-a".into() },
        callers: SocketAddr::from((host, 8001)),
        peers: SocketAddr::from((host, 8002)),
        state: VmState::Live,
    }
}

/// Measures the membership protocol of one VM against fake VMs that answer every ping.
fn measure_gossip(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for vms in [8_u64, 40, 200, 400] {
        let mut bytes =
            Figure::new(format!("failure detector, {vms} VMs"), "KB/s", target_kb_per_s());
        let mut cpu_percent = Figure::new(
            format!("failure detector, {vms} VMs"),
            "% core",
            Some((Bound::AtMost, TARGET_CPU_PERCENT)),
        );
        for run in 0..options.runs.min(3) {
            let (kb_per_s, cpu) = run_gossip(vms, options.seed + run)?;
            bytes.chosen.push(kb_per_s);
            cpu_percent.chosen.push(cpu);
        }
        figures.extend([bytes, cpu_percent]);
    }
    Ok(figures)
}

/// Measures the memory of the membership list for each known VM.
fn measure_peer_memory() -> anyhow::Result<Vec<Figure>> {
    const VMS: u64 = 5_800;
    let start = resident_mb()?;
    let mut detector = Membership::new(Duration::ZERO, vm_entry(0));
    let mut rng = SmallRng::seed_from_u64(1);
    for vm in 1..VMS {
        // A VM becomes known by an update of another VM that says it is alive.
        let about = VmDescription { entry: vm_entry(vm), up_ms: 1 };
        let update = Update {
            incarnation: vm + 1,
            generation: 0,
            status: MemberStatus::Alive,
            age_ms: 0,
            about: Some(about),
        };
        let mut hello = fake_message(vm, MessageKind::Hello, vm, Duration::from_secs(1));
        hello.updates.push(update);
        detector.receive(Duration::from_secs(1), vm + 1, hello, &mut rng);
    }
    let known = detector.heard_within(Duration::from_secs(1), Duration::ZERO).1;
    let mut figure = Figure::new(format!("a known VM, of {known}"), "bytes", None);
    figure.chosen.push((resident_mb()? - start) * 1e6 / known as f64);
    black_box(detector);
    Ok(vec![figure])
}

fn target_kb_per_s() -> Option<(Bound, f64)> {
    Some((Bound::AtMost, TARGET_KB_PER_S))
}

fn run_gossip(vms: u64, seed: u64) -> anyhow::Result<(f64, f64)> {
    const TICK: Duration = Duration::from_millis(50);
    const TIME: Duration = Duration::from_secs(30);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut local_vm = Membership::new(Duration::ZERO, vm_entry(0));
    let vm_list: Vec<VmEntry> = (0..vms).map(vm_entry).collect();
    let mut inbox: Vec<(u64, MembershipMessage)> = Vec::new();
    let mut sent_bytes = 0;
    let mut now = Duration::ZERO;
    let mut seq = 0;
    let mut busy_time = Duration::ZERO;
    local_vm.merge_list(now, &vm_list);
    while now < TIME {
        // Every VM pings `PINGS_PER_PERIOD` others in a period, so this VM gets as many on average.
        if now.as_millis().is_multiple_of(membership::PROTOCOL_PERIOD.as_millis()) {
            for _ in 0..membership::PINGS_PER_PERIOD {
                seq += 1;
                let from = 1 + rng.next_u64() % (vms - 1);
                inbox.push((from, fake_message(from, MessageKind::Ping { to: 1 }, seq, now)));
            }
        }
        let began = Instant::now();
        let mut actions = local_vm.tick(now, &mut rng);
        for (from, message) in inbox.drain(..) {
            actions.extend(local_vm.receive(now, from + 1, message, &mut rng));
        }
        let mut pings = Vec::new();
        for action in actions {
            if let MembershipAction::Send { to, message } = action {
                let batch = MessageBatch::new(1, [&Message::Membership((*message).clone())]);
                sent_bytes += serde_json::to_vec(&batch)?.len() + CALL_OVERHEAD_BYTES;
                pings.push((to.incarnation - 1, message));
            }
        }
        busy_time += began.elapsed();
        for (vm, message) in pings {
            if let MessageKind::Ping { .. } = message.kind {
                inbox.push((vm, fake_message(vm, MessageKind::Ack, message.seq, now)));
            }
        }
        now += TICK;
    }
    let seconds = TIME.as_secs_f64();
    Ok((sent_bytes as f64 / 1e3 / seconds, busy_time.as_secs_f64() / seconds * 100.0))
}

fn fake_message(vm: u64, kind: MessageKind, seq: u64, now: Duration) -> MembershipMessage {
    MembershipMessage {
        kind,
        seq,
        address: vm_entry(vm).peers,
        unknown: false,
        version: 1,
        freshness: Some(Duration::ZERO),
        up_ms: now.as_millis() as u64,
        updates: Vec::new(),
    }
}
