//! Rates of organisations: the leader of a failure domain admits the requests of all its VMs. The
//! others ask it for a token for each request of an organisation that has a rate.

use std::net::SocketAddr;
use std::pin::pin;

use dispatch::QuotaDecision;
use kernel::prelude::*;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::datagram::{Datagram, TokenRequest};
use crate::messaging::{domain_owner, local_leader, send};
use crate::node::Node;
use crate::state::State;

/// Time to wait for the response to a request for a token before it is sent again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a token: a failure domain that has lost its leader has another one after 0.7 s.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);
/// Part of the time of a request that it may wait for a token.
const WAIT_FRACTION: u32 = 3;
/// Number of requests that wait for a token at a time; others are refused at once.
const MAX_TOKEN_WAITS: usize = 1024;
/// Maximum number of organisations in a datagram.
const MAX_CHARGES: usize = 32;

/// Why a request got no token; it was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoToken {
    /// The organisation is above its rate; the next token is expected after this time.
    AboveRate(Duration),
    /// The VM that admits within the rates has not responded.
    NoOwner,
}

fn into_result(decision: QuotaDecision) -> Result<(), NoToken> {
    match decision {
        QuotaDecision::Admitted => Ok(()),
        QuotaDecision::Refused(retry) => Err(NoToken::AboveRate(retry)),
    }
}

/// A request that waits for a token. It is forgotten on drop, as when the caller disconnects.
struct TokenWait<'a> {
    node: &'a Node,
    id: u64,
    receiver: oneshot::Receiver<QuotaDecision>,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.node.state().token_waits.remove(&self.id);
    }
}

/// Whether this VM spends its failure domain's shares, so that no other one is asked.
fn spends(state: &State, now: Uptime) -> bool {
    // A claim that was lost is noticed by the next poll of the election.
    let is_settled = state.domain_share.led_for(now).is_some() == state.election.leads();
    is_settled && state.domain_share.spending_right(now).fraction > 0.0
}

/// Spends a token of the organisation; `None` if another VM does that.
///
/// The right is decided for each request, since the VM may have been paused after the last one.
fn spend(state: &mut State, now: Uptime, organisation: &str) -> Option<QuotaDecision> {
    if !spends(state, now) {
        return None;
    }
    let right = state.domain_share.spending_right(now);
    state.quota.set_right(right);
    Some(state.quota.admit(now, organisation))
}

/// Spends a token for a request with this deadline, here or on the leader.
pub async fn admit(
    node: &Node,
    organisation: &OrganisationId,
    deadline: Uptime,
) -> Result<(), NoToken> {
    let now = node.now();
    let mut wait = {
        let mut state = node.state();
        if !state.quota.is_limited(organisation) {
            return Ok(());
        }
        if let Some(decision) = spend(&mut state, now, organisation) {
            return into_result(decision);
        }
        if state.token_waits.len() >= MAX_TOKEN_WAITS {
            return Err(NoToken::NoOwner);
        }
        let (id, (sender, receiver)) = (node.random(), oneshot::channel());
        state.token_waits.insert(id, sender);
        TokenWait { node, id, receiver }
    };
    let wait_until = now + MAX_TOKEN_WAIT.min(deadline.saturating_sub(now) / WAIT_FRACTION);
    loop {
        let mut leader_changes = pin!(node.leader_changed.notified());
        leader_changes.as_mut().enable();
        ask(node, wait.id, organisation).await;
        let left = wait_until.saturating_sub(node.now()).min(ASK_INTERVAL);
        tokio::select! {
            decision = &mut wait.receiver => {
                if let Ok(decision) = decision {
                    return into_result(decision);
                }
            }
            () = &mut leader_changes => {}
            () = sleep(left) => {}
        }
        let now = node.now();
        // This VM may have become leader.
        if let Some(decision) = spend(&mut node.state(), now, organisation) {
            return into_result(decision);
        }
        if now >= wait_until {
            return Err(NoToken::NoOwner);
        }
    }
}

async fn ask(node: &Node, id: u64, organisation: &OrganisationId) {
    let owner = domain_owner(node, &node.state(), node.now());
    let Some(owner) = owner else { return };
    let request = TokenRequest {
        id,
        reply: node.boot_config.load().listen.peers,
        organisation: organisation.clone(),
        forwarded: false,
    };
    send(node, owner, &Datagram::TokenRequest(request)).await;
}

/// Handles a request for a token. A VM that does not lead passes it on to the leader once.
///
/// A request that is repeated because the response was lost takes another token: the first one is
/// not known to be unused.
pub async fn receive_request(node: &Node, request: TokenRequest) {
    let now = node.now();
    let (to, datagram): (SocketAddr, Datagram) = {
        let mut state = node.state();
        match spend(&mut state, now, &request.organisation) {
            Some(decision) => {
                let refused_ms = match decision {
                    QuotaDecision::Admitted => None,
                    QuotaDecision::Refused(retry) => Some(retry.as_millis() as u64),
                };
                (request.reply, Datagram::Token { id: request.id, refused_ms })
            }
            None => {
                let leader = local_leader(node, &state).filter(|_| !request.forwarded);
                let Some(leader) = leader else { return };
                (leader, Datagram::TokenRequest(TokenRequest { forwarded: true, ..request }))
            }
        }
    };
    send(node, to, &datagram).await;
}

/// Handles the response to a request for a token.
pub fn receive_token(node: &Node, id: u64, refused_ms: Option<u64>) {
    let waiting = node.state().token_waits.remove(&id);
    let decision = refused_ms.map_or(QuotaDecision::Admitted, |millis| {
        QuotaDecision::Refused(Duration::from_millis(millis))
    });
    if let Some(waiting) = waiting {
        // The request may have been given up at this moment.
        let _ = waiting.send(decision);
    }
}

/// Charges a retry to the rate of an organisation, or returns the token of a request that was not
/// run if the number is negative.
pub fn charge(state: &mut State, now: Uptime, organisation: &OrganisationId, requests: i32) {
    if spends(state, now) {
        state.quota.charge(organisation, requests);
    } else if state.quota.is_limited(organisation) {
        *state.unsent_charges.entry(organisation.clone()).or_default() += requests;
    }
}

/// Sends the leader what other VMs have to charge to it.
pub async fn send_charges(node: &Node) {
    let now = node.now();
    let (owner, charges) = {
        let mut state = node.state();
        if state.unsent_charges.is_empty() {
            return;
        }
        let charges = std::mem::take(&mut state.unsent_charges);
        if spends(&state, now) {
            // This VM has become leader.
            charges.iter().for_each(|(id, requests)| state.quota.charge(id, *requests));
            return;
        }
        (domain_owner(node, &state, now), charges)
    };
    let Some(owner) = owner else { return };
    let charges: Vec<(OrganisationId, i32)> = charges.into_iter().collect();
    for part in charges.chunks(MAX_CHARGES) {
        send(node, owner, &Datagram::Charges(part.to_vec())).await;
    }
}

/// Handles the charges of another VM.
pub fn receive_charges(node: &Node, charges: &[(OrganisationId, i32)]) {
    let mut state = node.state();
    for (organisation, requests) in charges {
        state.quota.charge(organisation, *requests);
    }
}
