//! Request limits that backend servers name in their responses: recorded, told to the other VMs, and
//! logged.

use std::net::SocketAddr;

use adapter::ResponseHead;
use dispatch::{
    BackendKey, DomainView, LimitChange, LimitReport, PaceRight, RequestLimit, StartKey,
    StatedLimit,
};
use kernel::prelude::*;

use crate::datagram::{Datagram, LimitNotice};
use crate::messaging::{notify_leaders, notify_successors, send};
use crate::node::Node;
use crate::state::State;

/// Maximum number of limits in a datagram.
const MAX_LIMITS: usize = 64;
/// Interval of logging the requests to backend servers with a request limit.
const LOG_INTERVAL: Duration = Duration::from_secs(4);
/// Time without a heartbeat after which the leader of another failure domain counts as silent.
const LEADER_TIMEOUT: Duration = Duration::from_millis(3500);

/// Counts a request that is sent to a backend server.
pub fn count_send(node: &Node, key: BackendKey) {
    if let Some(backend) = node.state().backends.get_mut(key) {
        backend.unreported_sends = backend.unreported_sends.saturating_add(1);
    }
}

/// Records what a response says about the request limit of its backend server. `sent_at` is when the
/// request was sent.
pub fn record_limit(node: &Node, key: BackendKey, head: &ResponseHead, sent_at: Uptime) {
    if head.misdirected {
        return;
    }
    let now = node.now();
    let mut state = node.state();
    let limit = match head.limit {
        StatedLimit::Absent => None,
        StatedLimit::Named(limit) => Some(limit),
        StatedLimit::Unreadable => {
            let backend = state.backends.get(key).map(|b| b.entry.id.clone()).unwrap_or_default();
            telemetry::event!(LIMIT_UNREADABLE, backend = backend);
            return;
        }
    };
    let report = LimitReport { limit, sent_at, received_at: now };
    let Some((start, change)) = state.backends.record_limit(now, key, report) else { return };
    if change == LimitChange::News {
        state.unsent_limits.insert(start);
        log_change(&state, start, report, "response");
    }
}

fn log_change(state: &State, start: StartKey, report: LimitReport, source: &str) {
    let key = state.backends.find_start(start);
    let Some(entry) = key.and_then(|key| state.backends.get(key)).map(|b| &b.entry) else { return };
    match report.limit {
        Some(limit) => telemetry::event!(
            BACKEND_LIMITED,
            backend = entry.id,
            service = entry.service,
            domain = entry.domain,
            limit = limit.per_second(),
            source = source,
        ),
        None => telemetry::event!(LIMIT_ENDED, backend = entry.id, source = source),
    }
}

fn encode_limit(now: Uptime, (start, report): (StartKey, LimitReport)) -> LimitNotice {
    LimitNotice {
        backend: start.0,
        started_ms: start.1,
        limit: report.limit.map(RequestLimit::per_second),
        sent_ms: now.saturating_sub(report.sent_at).as_millis() as u64,
        received_ms: now.saturating_sub(report.received_at).as_millis() as u64,
    }
}

/// Decodes a notice; `None` if its limit is none.
fn decode_limit(now: Uptime, notice: &LimitNotice) -> Option<(StartKey, LimitReport)> {
    let limit = match notice.limit {
        Some(limit) => Some(RequestLimit::try_from(limit).ok()?),
        None => None,
    };
    let age = |millis| Duration::from_millis(millis);
    let report = LimitReport {
        limit,
        sent_at: now.saturating_sub(age(notice.sent_ms)),
        received_at: now.saturating_sub(age(notice.received_ms)),
    };
    Some(((notice.backend, notice.started_ms), report))
}

/// Request limits in force, for a VM that syncs.
pub fn active_limits(node: &Node) -> Vec<LimitNotice> {
    let now = node.now();
    node.state().backends.active_limits().map(|active| encode_limit(now, active)).collect()
}

/// Merges what another VM reports. Returns the reports that were news, and what is known here in
/// place of those that were out of date.
pub fn merge_limits(
    node: &Node,
    notices: &[LimitNotice],
    source: &str,
) -> (Vec<LimitNotice>, Vec<LimitNotice>) {
    let now = node.now();
    let mut state = node.state();
    let (mut news, mut corrections) = (Vec::new(), Vec::new());
    for notice in notices {
        let Some((start, report)) = decode_limit(now, notice) else { continue };
        match state.backends.merge_limit(now, start, report) {
            LimitChange::News => {
                log_change(&state, start, report, source);
                news.push(notice.clone());
            }
            LimitChange::Minor => {}
            LimitChange::Outdated => {
                let known = state.backends.limit_report(start);
                corrections.extend(known.map(|known| encode_limit(now, (start, known))));
            }
        }
    }
    (news, corrections)
}

/// Handles the limits that another VM sent. The leader tells its failure domain what it hears from
/// another one, and a VM whose report is out of date is told the newer one.
pub async fn receive_limits(node: &Node, sender: SocketAddr, notices: &[LimitNotice]) {
    let (news, corrections) = merge_limits(node, notices, &sender.to_string());
    if !corrections.is_empty() {
        send(node, sender, &Datagram::Limits(corrections)).await;
    }
    let tells_domain = {
        let state = node.state();
        state.election.leads() && state.local_vms.values().all(|known| known.peers != sender)
    };
    if tells_domain && !news.is_empty() {
        notify_successors(node, &Datagram::Limits(news)).await;
    }
}

/// Sends the changed limits to the failure domain and to the leaders.
pub async fn send_limits(node: &Node) {
    let now = node.now();
    let limits: Vec<LimitNotice> = {
        let mut state = node.state();
        let unsent = std::mem::take(&mut state.unsent_limits);
        let known = |start| Some((start, state.backends.limit_report(start)?));
        unsent.into_iter().filter_map(known).map(|report| encode_limit(now, report)).collect()
    };
    for part in limits.chunks(MAX_LIMITS) {
        let datagram = Datagram::Limits(part.to_vec());
        notify_successors(node, &datagram).await;
        notify_leaders(node, &datagram).await;
    }
}

/// Request limits in force of the backend servers of a failure domain, or of one service there.
pub fn limits_of_domain(
    state: &State,
    now: Uptime,
    domain: &str,
    service: Option<&str>,
) -> Vec<LimitNotice> {
    let is_asked_for = |start: StartKey| {
        let key = state.backends.find_start(start);
        let entry = key.and_then(|key| state.backends.get(key)).map(|backend| &backend.entry);
        entry
            .is_some_and(|e| *e.domain == *domain && service.is_none_or(|name| *e.service == *name))
    };
    let active = state.backends.active_limits().filter(|(start, _)| is_asked_for(*start));
    active.map(|active| encode_limit(now, active)).collect()
}

/// Sends the new leader of another failure domain the limits of its backend servers.
pub async fn send_limits_of_domain(node: &Node, leader: SocketAddr, domain: &str) {
    let limits = limits_of_domain(&node.state(), node.now(), domain, None);
    for part in limits.chunks(MAX_LIMITS) {
        send(node, leader, &Datagram::Limits(part.to_vec())).await;
    }
}

/// Decides how this VM may spend the request limits of a service's backend servers. Returns whether
/// one of them has a limit.
pub fn update_rights(node: &Node, state: &mut State, now: Uptime, service: &str) -> bool {
    let State { backends, domain_share, election, other_leaders, .. } = state;
    let boot_config = node.boot_config.load();
    let own = &boot_config.place.domain;
    let led_for = domain_share.led_for(now).filter(|_| election.leads());
    let silence = |domain: &str| {
        other_leaders.get(domain).map(|leader| now.saturating_sub(leader.received_at))
    };
    let is_silent = |domain: &str| silence(domain).is_none_or(|silent| silent >= LEADER_TIMEOUT);
    let others = || boot_config.domain_regions.keys().filter(|domain| *domain != own);
    let mut view: Option<DomainView> = None;
    backends.set_pace_rights(
        now,
        service,
        |entry| {
            // The same for all backend servers but for their failure domain.
            let view = view.get_or_insert_with(|| DomainView {
                is_own: false,
                led_for,
                fraction: domain_share.spending_right(now).fraction,
                silence: None,
                domains: boot_config.domain_regions.len(),
                silent_domains: others().filter(|domain| is_silent(domain)).count(),
            });
            let (is_own, silence) = (entry.domain == *own, silence(&entry.domain));
            PaceRight::decide(&DomainView { is_own, silence, ..*view })
        },
        || node.random_fraction(),
    )
}

/// Logs how many requests this VM has sent to each backend server with a request limit, and what it
/// may send.
pub fn report_limited(node: &Node) {
    let now = node.now();
    let mut state = node.state();
    let since = now.saturating_sub(state.limits_logged_at);
    if since < LOG_INTERVAL {
        return;
    }
    state.limits_logged_at = now;
    let (mut limited, mut sends) = (0, 0);
    for (_, backend) in state.backends.iter_mut() {
        let sent = std::mem::take(&mut backend.unreported_sends);
        let granted = std::mem::take(&mut backend.unreported_permits);
        let Some(pace) = backend.pace else { continue };
        limited += 1;
        sends += sent;
        // VMs that neither send to it nor give leave to have nothing to tell.
        if sent == 0 && granted == 0 && pace.right() == PaceRight::Permit {
            continue;
        }
        telemetry::event!(
            LIMITED_LOAD,
            backend = backend.entry.id,
            limit = pace.limit().per_second(),
            right = pace.right().as_str(),
            rate = pace.rate(),
            sent = sent,
            granted = granted,
            within_ms = since.as_millis() as u64,
        );
    }
    drop(state);
    node.metrics.record_limited(limited, sends);
}
