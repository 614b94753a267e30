use std::net::SocketAddr;
use std::sync::Arc;

use adapter::{RowChange, Table};
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::datagram::{Datagram, HeartbeatMessage};
use crate::messaging::{own_heartbeat, send};
use crate::node::Node;

/// Maximum delay between attempts to register this VM.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time within which all VMs register again after a restore of the store.
const MAX_RENEWAL_DELAY: Duration = Duration::from_secs(2);

/// Row of the table of VMs.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    /// Address for other VMs.
    peers: SocketAddr,
}

fn leader_key(domain: &str) -> Box<str> {
    format!("home/{domain}").into()
}

fn vm_prefix(domain: &str) -> String {
    format!("vm/{domain}/")
}

fn encode_vm_row(address: SocketAddr) -> Option<Vec<u8>> {
    serde_json::to_vec(&VmRow { peers: address }).ok()
}

/// Registers this VM in the store's table, and announces it to the VMs of its failure domain. Does it
/// again when the store has come back from an older copy.
pub async fn register(node: Arc<Node>) {
    let boot_config = node.boot_config.load_full();
    announce(&node, &boot_config.seeds).await;
    let client = node.store();
    write_row(&node, &client).await;
    discover_vms(&node, &client, node.options.store_backoff).await;
    loop {
        node.register_wake.notified().await;
        // All VMs learn of it at once, and the store takes some hundred writes a second.
        sleep(MAX_RENEWAL_DELAY.mul_f64(node.random_fraction())).await;
        write_row(&node, &client).await;
        if node.state().election.leads() {
            announce_leader(&node).await;
        }
    }
}

/// Writes the row of this VM until the store has taken it.
async fn write_row(node: &Node, client: &adapter::StoreClient) {
    let boot_config = node.boot_config.load_full();
    let domain = &boot_config.place.domain;
    let key: Box<str> = format!("{}{}", vm_prefix(domain), boot_config.vm).into();
    let mut backoff = node.options.store_backoff;
    loop {
        let change = RowChange { key: key.clone(), value: encode_vm_row(boot_config.listen.peers) };
        match client.write_rows(Table::Vms, vec![change]).await {
            Ok(_) => break,
            Err(error) => {
                node.metrics.record_store_call("vms", false);
                telemetry::event!(VM_UNLISTED, error = error.to_string());
            }
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    node.metrics.record_store_call("vms", true);
    telemetry::event!(VM_LISTED, vm = boot_config.vm);
}

/// Announces this VM to the registered VMs of its failure domain.
async fn discover_vms(node: &Node, client: &adapter::StoreClient, mut backoff: Duration) {
    let boot_config = node.boot_config.load_full();
    let prefix = vm_prefix(&boot_config.place.domain);
    loop {
        match client.read_prefix(Table::Vms, &prefix).await {
            Ok(rows) => {
                node.metrics.record_store_call("vms", true);
                let rows = rows.rows.iter().filter_map(|r| r.value.as_deref());
                let found = rows.filter_map(|v| serde_json::from_slice::<VmRow>(v).ok());
                let found: Vec<SocketAddr> = found.map(|r| r.peers).collect();
                announce(node, &found).await;
                let now = node.now();
                node.state().announced_at = Some(now);
                return;
            }
            Err(error) => {
                node.metrics.record_store_call("vms", false);
                telemetry::event!(VM_UNLISTED, error = error.to_string());
            }
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Sends a heartbeat to VMs that may not know this one yet.
async fn announce(node: &Node, addresses: &[SocketAddr]) {
    let own = node.boot_config.load().listen.peers;
    let heartbeat = Datagram::Heartbeat(own_heartbeat(node));
    for address in addresses.iter().filter(|a| **a != own) {
        send(node, *address, &heartbeat).await;
    }
}

/// Registers this VM as the leader of its failure domain, and announces it to the other leaders.
pub async fn announce_leader(node: &Node) {
    let boot_config = node.boot_config.load_full();
    let known: Vec<SocketAddr> =
        node.state().other_leaders.values().map(|leader| leader.heartbeat.peers).collect();
    let heartbeat = own_heartbeat(node);
    send_leader_heartbeats(node, &known, &heartbeat).await;
    let client = node.store();
    let change = RowChange {
        key: leader_key(&boot_config.place.domain),
        value: encode_vm_row(boot_config.listen.peers),
    };
    if let Err(error) = client.write_rows(Table::Vms, vec![change]).await {
        telemetry::event!(VM_UNLISTED, error = error.to_string());
    }
    match client.read_prefix(Table::Vms, "home/").await {
        Ok(rows) => {
            let rows = rows.rows.iter().filter_map(|r| r.value.as_deref());
            let found = rows.filter_map(|v| serde_json::from_slice::<VmRow>(v).ok());
            let found: Vec<SocketAddr> =
                found.map(|r| r.peers).filter(|a| *a != boot_config.listen.peers).collect();
            send_leader_heartbeats(node, &found, &heartbeat).await;
        }
        Err(error) => telemetry::event!(VM_UNLISTED, error = error.to_string()),
    }
}

/// Sends the heartbeat of this VM to other leaders, without demand.
async fn send_leader_heartbeats(node: &Node, leaders: &[SocketAddr], heartbeat: &HeartbeatMessage) {
    for leader in leaders {
        send(node, *leader, &Datagram::LeaderHeartbeat(heartbeat.clone(), Vec::new())).await;
    }
}
