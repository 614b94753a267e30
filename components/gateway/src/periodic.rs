use std::sync::Arc;

use dispatch::Role;
use kernel::prelude::*;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::crashes::report_crashes;
use crate::datagram::Datagram;
use crate::limits::{report_limited, send_limits};
use crate::messaging::{
    notify_domain, own_heartbeat, send_demand, send_demand_changes, send_evidence,
};
use crate::node::Node;
use crate::notices::send_notices;
use crate::placing::serve_queue;
use crate::rates::send_charges;
use crate::relay::update_relays;
use crate::store_cache::update_synced;

/// Interval of polling the election and the wait queues.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of reporting changed demand near a rate limit. It is short enough for all VMs to learn
/// of a step in demand before a burst is spent twice.
const DEMAND_CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of sending evidence about backend servers.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(60);

/// Polls the election, applies changes of role, and places waiting requests.
pub async fn poll_election(node: Arc<Node>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut role = Role::Standby;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.election_wake.notified() => {}
        }
        update_synced(&node);
        let now = node.now();
        let (next, changed) = {
            let mut state = node.state();
            let previous = state.election.leader();
            let next = state.election.poll(now);
            let has_led = state.domain_share.led_for(now).is_some();
            let leads = next == Role::Leader;
            let forfeits = state.domain_share.set_leading(now, leads, previous);
            if leads && !has_led {
                state.quota.begin_spending(now, forfeits);
            }
            let services: Vec<ServiceId> = state
                .services
                .iter()
                .filter(|(_, s)| !s.queue.is_empty())
                .map(|(name, _)| name.clone())
                .collect();
            for service in services {
                serve_queue(&node, &mut state, now, &service);
            }
            (next, next != role)
        };
        if !changed {
            continue;
        }
        role = next;
        match role {
            Role::Leader => {
                telemetry::event!(HOME_TAKEN, vm = format!("{:016x}", node.incarnation))
            }
            Role::Standby => {
                telemetry::event!(HOME_LEFT, vm = format!("{:016x}", node.incarnation))
            }
        }
        node.heartbeat_wake.notify_one();
        node.watch_wake.notify_waiters();
        node.leader_changed.notify_waiters();
        if role == Role::Leader {
            let node = Arc::clone(&node);
            tokio::spawn(async move { crate::registration::announce_leader(&node).await });
        }
    }
}

/// Sends heartbeats to the VMs of this failure domain.
pub async fn send_heartbeats(node: Arc<Node>) {
    loop {
        let leader = node.state().election.leader();
        let delay = match leader {
            Some(vm) if vm != node.incarnation => node.options.standby_heartbeat,
            _ => node.options.leader_heartbeat,
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = node.heartbeat_wake.notified() => {}
        }
        if node.is_stopping() {
            continue;
        }
        notify_domain(&node, &Datagram::Heartbeat(own_heartbeat(&node))).await;
    }
}

/// Sends evidence and demand to the leaders, and does periodic maintenance.
pub async fn send_reports(node: Arc<Node>) {
    let mut evidence = interval(EVIDENCE_INTERVAL);
    evidence.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut demand = interval(node.options.demand_interval);
    demand.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut demand_changes = interval(DEMAND_CHANGE_INTERVAL);
    demand_changes.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = demand_changes.tick() => send_demand_changes(&node).await,
            _ = evidence.tick() => {
                send_evidence(&node).await;
                send_notices(&node).await;
                send_limits(&node).await;
                report_crashes(&node).await;
                send_charges(&node).await;
            }
            _ = demand.tick() => {
                send_demand(&node).await;
                update_relays(&node);
                report_limited(&node);
                prune_and_report(&node);
            }
        }
    }
}

fn prune_and_report(node: &Node) {
    let now = node.now();
    let (backends, is_leader) = {
        let state = node.state();
        node.pools.prune(|key| state.backends.get(key).is_some());
        (state.backends.iter().count(), state.election.leader() == Some(node.incarnation))
    };
    let (version, age) = {
        let cache = node.cache();
        (cache.config_version(), cache.staleness(now))
    };
    node.metrics.set_gauges(version, backends, is_leader, age);
}
