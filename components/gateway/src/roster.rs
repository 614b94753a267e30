use std::net::SocketAddr;
use std::sync::Arc;

use adapter::{RowChange, Table};
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::bus::{own_beat, send};
use crate::datagram::{BeatMessage, Datagram};
use crate::node::Node;

/// Longest pause between two tries to enter this VM into the table.
const PAUSE_MOST: Duration = Duration::from_secs(5);

/// What the table of VMs says of a VM.
#[derive(Debug, Serialize, Deserialize)]
struct RosterRow {
    /// Address for other VMs.
    peers: SocketAddr,
}

fn home_key(domain: &str) -> Box<str> {
    format!("home/{domain}").into()
}

fn vm_prefix(domain: &str) -> String {
    format!("vm/{domain}/")
}

fn row(address: SocketAddr) -> Option<Vec<u8>> {
    serde_json::to_vec(&RosterRow { peers: address }).ok()
}

/// Registers this VM in the table of its failure domain, and announces it to the others there.
pub async fn enter(node: Arc<Node>) {
    let boot = node.boot.load_full();
    announce(&node, &boot.seeds).await;
    let domain = &boot.place.domain;
    let key: Box<str> = format!("{}{}", vm_prefix(domain), boot.vm).into();
    let client = node.store();
    let mut pause = node.options.store_pause;
    loop {
        let change = RowChange { key: key.clone(), value: row(boot.listen.peers) };
        match client.write_rows(Table::Vms, vec![change]).await {
            Ok(_) => break,
            Err(error) => {
                node.metrics.store_call("vms", false);
                telemetry::event!(VM_UNLISTED, error = error.to_string());
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
    node.metrics.store_call("vms", true);
    telemetry::event!(VM_LISTED, vm = boot.vm);
    discover_vms(&node, &client, pause).await;
}

async fn discover_vms(node: &Node, client: &adapter::StoreClient, mut pause: Duration) {
    let boot = node.boot.load_full();
    let prefix = vm_prefix(&boot.place.domain);
    loop {
        match client.read_prefix(Table::Vms, &prefix).await {
            Ok(rows) => {
                node.metrics.store_call("vms", true);
                let rows = rows.rows.iter().filter_map(|r| r.value.as_deref());
                let found = rows.filter_map(|v| serde_json::from_slice::<RosterRow>(v).ok());
                let found: Vec<SocketAddr> = found.map(|r| r.peers).collect();
                announce(node, &found).await;
                let now = node.now();
                node.state().announced = Some(now);
                return;
            }
            Err(error) => {
                node.metrics.store_call("vms", false);
                telemetry::event!(VM_UNLISTED, error = error.to_string());
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
}

/// Sends a beat to VMs that may not know this one.
async fn announce(node: &Node, addresses: &[SocketAddr]) {
    let own = node.boot.load().listen.peers;
    let beat = Datagram::Beat(own_beat(node));
    for address in addresses.iter().filter(|a| **a != own) {
        send(node, *address, &beat).await;
    }
}

/// Makes this VM known as the home of its failure domain, and meets the other homes.
pub async fn announce_home(node: &Node) {
    let boot = node.boot.load_full();
    let known: Vec<SocketAddr> = node.state().homes.values().map(|h| h.beat.peers).collect();
    let beat = own_beat(node);
    notify(node, &known, &beat).await;
    let client = node.store();
    let change = RowChange { key: home_key(&boot.place.domain), value: row(boot.listen.peers) };
    if let Err(error) = client.write_rows(Table::Vms, vec![change]).await {
        telemetry::event!(VM_UNLISTED, error = error.to_string());
    }
    match client.read_prefix(Table::Vms, "home/").await {
        Ok(rows) => {
            let rows = rows.rows.iter().filter_map(|r| r.value.as_deref());
            let found = rows.filter_map(|v| serde_json::from_slice::<RosterRow>(v).ok());
            let found: Vec<SocketAddr> =
                found.map(|r| r.peers).filter(|a| *a != boot.listen.peers).collect();
            notify(node, &found, &beat).await;
        }
        Err(error) => telemetry::event!(VM_UNLISTED, error = error.to_string()),
    }
}

async fn notify(node: &Node, homes: &[SocketAddr], beat: &BeatMessage) {
    for home in homes {
        send(node, *home, &Datagram::Home(beat.clone(), Vec::new())).await;
    }
}
