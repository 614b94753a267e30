use std::sync::Arc;

use dispatch::Role;
use kernel::prelude::*;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::bus::{notify_domain, own_beat, send_demand, send_evidence, send_pressing_demand};
use crate::datagram::Datagram;
use crate::node::Node;
use crate::relay::maintain;
use crate::slot::pump;

/// Time between two polls of the election and of the lines.
const POLL: Duration = Duration::from_millis(50);
/// Time between two messages of demand near a rate. A step of demand is known everywhere before
/// a burst is spent twice.
const PRESSING: Duration = Duration::from_millis(150);
/// Time between two messages of evidence.
const EVIDENCE: Duration = Duration::from_millis(60);

/// Decides the part of this VM and moves the lines on.
pub async fn poll(node: Arc<Node>) {
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut role = Role::Standby;
    loop {
        ticks.tick().await;
        let now = node.now();
        let (next, changed) = {
            let mut state = node.state();
            let next = state.election.poll(now);
            let services: Vec<ServiceId> = state
                .services
                .iter()
                .filter(|(_, s)| !s.room.is_empty())
                .map(|(name, _)| name.clone())
                .collect();
            for service in services {
                pump(&node, &mut state, now, &service);
            }
            (next, next != role)
        };
        if !changed {
            continue;
        }
        role = next;
        match role {
            Role::Leader => telemetry::event!(HOME_TAKEN, vm = format!("{:016x}", node.vm)),
            Role::Standby => telemetry::event!(HOME_LEFT, vm = format!("{:016x}", node.vm)),
        }
        node.beat.notify_one();
        node.watch.notify_waiters();
        if role == Role::Leader {
            let node = Arc::clone(&node);
            tokio::spawn(async move { crate::roster::announce_home(&node).await });
        }
    }
}

/// Tells the failure domain that this VM lives.
pub async fn beat(node: Arc<Node>) {
    loop {
        let home = node.state().election.leader();
        let pause = match home {
            Some(vm) if vm != node.vm => node.options.beat_standby,
            _ => node.options.beat_home,
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = node.beat.notified() => {}
        }
        if node.is_stopping() {
            continue;
        }
        notify_domain(&node, &Datagram::Beat(own_beat(&node))).await;
    }
}

/// Tells other homes what they need to know.
pub async fn report(node: Arc<Node>) {
    let mut evidence = interval(EVIDENCE);
    evidence.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut demand = interval(node.options.report);
    demand.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pressing = interval(PRESSING);
    pressing.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = pressing.tick() => send_pressing_demand(&node).await,
            _ = evidence.tick() => send_evidence(&node).await,
            _ = demand.tick() => {
                send_demand(&node).await;
                maintain(&node);
                sweep(&node);
            }
        }
    }
}

fn sweep(node: &Node) {
    let now = node.now();
    let (backends, home) = {
        let state = node.state();
        node.pools.sweep(|key| state.backends.get(key).is_some());
        (state.backends.iter().count(), state.election.leader() == Some(node.vm))
    };
    let (version, age) = {
        let knowledge = node.knowledge();
        (knowledge.version, knowledge.age(now))
    };
    node.metrics.set(version, backends, home, age);
}
