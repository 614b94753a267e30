use std::collections::HashMap;
use std::time::Duration;

use kernel::{GrantId, Incarnation, Uptime};

use crate::Ranking;
use crate::timing::{ASK_TIMEOUT, GRANT_VALIDITY};

/// Maximum time for which a VM that does not answer is not asked.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Round trip above which a VM counts as remote: inside a region it takes a few milliseconds,
/// between regions about 60 ms.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(20);

/// Smoothing factor of the scarcity.
const SCARCITY_ALPHA: f64 = 0.1;

/// What is known about a VM that may hold units.
#[derive(Clone, Debug, Default)]
struct Source {
    /// Whether it granted tokens and has not reported since that it holds no units.
    has_granted: bool,
    /// Earliest time of the next ask.
    next_ask: Uptime,
    /// Consecutive asks that timed out.
    timeouts: u32,
    last_asked: Uptime,
    /// Whether its last grant took longer than a round trip inside a region.
    remote: bool,
}

/// An ask whose grant may still arrive.
#[derive(Clone, Debug, PartialEq)]
struct PendingAsk {
    holder: Incarnation,
    grant: GrantId,
    tokens: f64,
    sent: Uptime,
    timed_out: bool,
}

/// The VMs that this VM asks for tokens of one organisation.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    sources: HashMap<Incarnation, Source>,
    pending: Vec<PendingAsk>,
    /// Moving average of the fraction of asked tokens that was not granted.
    scarcity: f64,
}

impl Sources {
    /// Removes asks whose grants would no longer be valid, and backs off from VMs whose asks timed
    /// out.
    pub fn advance(&mut self, now: Uptime) {
        self.pending.retain(|a| now < a.sent + GRANT_VALIDITY);
        for ask in self.pending.iter_mut().filter(|a| !a.timed_out && now >= a.sent + ASK_TIMEOUT) {
            ask.timed_out = true;
            let source = self.sources.entry(ask.holder).or_default();
            source.timeouts += 1;
            let backoff = ASK_TIMEOUT * 2u32.saturating_pow(source.timeouts.min(8));
            source.next_ask = now + backoff.min(MAX_BACKOFF);
        }
    }

    /// Tokens that are still expected from pending asks, and the number of these asks.
    pub fn expected(&self) -> (f64, usize) {
        let pending = self.pending.iter().filter(|a| !a.timed_out);
        pending.fold((0.0, 0), |(sum, n), a| (sum + a.tokens, n + 1))
    }

    /// VMs that may be asked now, in order of preference. VMs behind the first `holders` of the
    /// ranking are included only if `include_all` is set or they have granted tokens before.
    pub fn candidates(
        &self,
        now: Uptime,
        ranking: &Ranking,
        this_vm: Incarnation,
        include_all: bool,
    ) -> Vec<Incarnation> {
        let holders = ranking.holders() as usize;
        let mut candidates: Vec<(bool, bool, Uptime, u64, Incarnation)> = Vec::new();
        for (rank, vm) in ranking.vms().iter().enumerate().filter(|(_, vm)| **vm != this_vm) {
            let source = self.sources.get(vm);
            let preferred = rank < holders || source.is_some_and(|s| s.has_granted);
            let is_due = source.is_none_or(|s| s.next_ask <= now);
            let has_pending = self.pending.iter().any(|a| a.holder == *vm && !a.timed_out);
            if is_due && !has_pending && (preferred || include_all) {
                // VMs of this region first, since grants from other regions are outstanding for
                // longer; then the least recently asked; then an order that differs between VMs.
                let remote = source.is_some_and(|s| s.remote);
                let last_asked = source.map_or(Uptime::ZERO, |s| s.last_asked);
                candidates.push((
                    !preferred,
                    remote,
                    last_asked,
                    (vm ^ this_vm).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                    *vm,
                ));
            }
        }
        candidates.sort_unstable();
        candidates.into_iter().map(|(.., vm)| vm).collect()
    }

    /// Earliest time at which a VM that was asked before may be asked again.
    pub fn next_ask(&self, ranking: &Ranking, this_vm: Incarnation) -> Option<Uptime> {
        let vms = ranking.vms().iter().filter(|vm| **vm != this_vm);
        vms.filter_map(|vm| self.sources.get(vm)).map(|s| s.next_ask).min()
    }

    /// Records an ask.
    pub fn record_ask(&mut self, now: Uptime, holder: Incarnation, grant: GrantId, tokens: f64) {
        self.sources.entry(holder).or_default().last_asked = now;
        self.pending.push(PendingAsk { holder, grant, tokens, sent: now, timed_out: false });
    }

    /// Records a grant. Returns its tokens and the end of its validity, or none if it was not asked
    /// for, arrived before or is too late.
    pub fn record_grant(
        &mut self,
        now: Uptime,
        holder: Incarnation,
        grant: GrantId,
        tokens: f64,
        retry: Duration,
    ) -> Option<(f64, Uptime)> {
        self.advance(now);
        let index = self.pending.iter().position(|a| a.holder == holder && a.grant == grant)?;
        let ask = self.pending.swap_remove(index);
        let source = self.sources.entry(holder).or_default();
        source.timeouts = 0;
        source.remote = now - ask.sent > REMOTE_ROUND_TRIP;
        source.has_granted =
            tokens > 0.0 || (source.has_granted && retry < crate::timing::NO_UNITS_DELAY);
        source.next_ask = if tokens < ask.tokens { now.saturating_add(retry) } else { now };
        let tokens = tokens.max(0.0).min(ask.tokens);
        self.scarcity += SCARCITY_ALPHA * (1.0 - tokens / ask.tokens - self.scarcity);
        Some((tokens, ask.sent + GRANT_VALIDITY))
    }

    /// Moving average of the fraction of asked tokens that was not granted, in [0, 1].
    pub fn scarcity(&self) -> f64 {
        self.scarcity
    }

    /// Forgets the VMs that are no longer in the ranking.
    pub fn retain(&mut self, ranking: &Ranking) {
        self.sources.retain(|vm, _| ranking.vms().contains(vm));
    }

    /// Whether no grant can arrive any more.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }
}
