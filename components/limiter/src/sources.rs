use std::collections::HashMap;
use std::time::Duration;

use kernel::{GrantId, Incarnation, Uptime};

use crate::Ranking;
use crate::timing::{ASK_TIMEOUT, GRANT_VALID};

/// Longest time for which a silent VM is not asked.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Round trips inside a region take a few milliseconds, those between regions about 60 ms.
const FAR: Duration = Duration::from_millis(20);

/// Weight of the newest grant in the measured scarcity.
const NEWEST: f64 = 0.1;

/// What is known of a VM that may hold units.
#[derive(Clone, Debug, Default)]
struct Source {
    /// It has granted tokens before.
    giver: bool,
    /// It is not worth asking before.
    ready: Uptime,
    /// Asks in a row without an answer in time.
    misses: u32,
    asked: Uptime,
    /// Its last grant took longer than a round trip inside a region.
    far: bool,
}

/// An ask whose grant may still come.
#[derive(Clone, Debug, PartialEq)]
struct Ask {
    holder: Incarnation,
    grant: GrantId,
    tokens: f64,
    at: Uptime,
    late: bool,
}

/// The VMs that this VM asks for tokens of one organisation.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    known: HashMap<Incarnation, Source>,
    asks: Vec<Ask>,
    /// Mean part of the last asks that was not granted.
    scarcity: f64,
}

impl Sources {
    /// Drops the asks whose grants would be invalid and gives up on the silent ones.
    pub fn advance(&mut self, now: Uptime) {
        self.asks.retain(|a| now < a.at + GRANT_VALID);
        for ask in self.asks.iter_mut().filter(|a| !a.late && now >= a.at + ASK_TIMEOUT) {
            ask.late = true;
            let source = self.known.entry(ask.holder).or_default();
            source.misses += 1;
            let pause = ASK_TIMEOUT * 2u32.saturating_pow(source.misses.min(8));
            source.ready = now + pause.min(LONGEST_PAUSE);
        }
    }

    /// Tokens asked for that can still be expected soon, and the number of these asks.
    pub fn expected(&self) -> (f64, usize) {
        let open = self.asks.iter().filter(|a| !a.late);
        open.fold((0.0, 0), |(sum, n), a| (sum + a.tokens, n + 1))
    }

    /// VMs that are worth asking now: the best first. Those beyond the `holders` first of the
    /// ranking are tried only if `all` is set or they have granted before.
    pub fn ready(
        &self,
        now: Uptime,
        ranking: &Ranking,
        me: Incarnation,
        all: bool,
    ) -> Vec<Incarnation> {
        let holders = ranking.holders() as usize;
        let mut ready: Vec<(bool, bool, Uptime, u64, Incarnation)> = Vec::new();
        for (rank, vm) in ranking.vms().iter().enumerate().filter(|(_, vm)| **vm != me) {
            let source = self.known.get(vm);
            let usual = rank < holders || source.is_some_and(|s| s.giver);
            let open = source.is_none_or(|s| s.ready <= now);
            let asked = self.asks.iter().any(|a| a.holder == *vm && !a.late);
            if open && !asked && (usual || all) {
                // Near ones first, since far grants are outstanding for longer; then the least
                // recently asked, or an order of this VM's own.
                let far = source.is_some_and(|s| s.far);
                let last = source.map_or(Uptime::ZERO, |s| s.asked);
                ready.push((!usual, far, last, (vm ^ me).wrapping_mul(0x9e37_79b9_7f4a_7c15), *vm));
            }
        }
        ready.sort_unstable();
        ready.into_iter().map(|(.., vm)| vm).collect()
    }

    /// Time at which a VM that has granted before, or should hold units, is worth asking again.
    pub fn next(&self, ranking: &Ranking, me: Incarnation) -> Option<Uptime> {
        let vms = ranking.vms().iter().filter(|vm| **vm != me);
        vms.filter_map(|vm| self.known.get(vm)).map(|s| s.ready).min()
    }

    /// Notes an ask.
    pub fn ask(&mut self, now: Uptime, holder: Incarnation, grant: GrantId, tokens: f64) {
        self.known.entry(holder).or_default().asked = now;
        self.asks.push(Ask { holder, grant, tokens, at: now, late: false });
    }

    /// Takes a grant. Returns its tokens and the end of its validity, or none if it was not asked
    /// for, came before or comes too late.
    pub fn granted(
        &mut self,
        now: Uptime,
        holder: Incarnation,
        grant: GrantId,
        tokens: f64,
        retry: Duration,
    ) -> Option<(f64, Uptime)> {
        self.advance(now);
        let place = self.asks.iter().position(|a| a.holder == holder && a.grant == grant)?;
        let ask = self.asks.swap_remove(place);
        let source = self.known.entry(holder).or_default();
        source.misses = 0;
        source.far = now - ask.at > FAR;
        source.giver = tokens > 0.0 || (source.giver && retry < crate::timing::NO_UNITS);
        source.ready = if tokens < ask.tokens { now.saturating_add(retry) } else { now };
        let tokens = tokens.max(0.0).min(ask.tokens);
        self.scarcity += NEWEST * (1.0 - tokens / ask.tokens - self.scarcity);
        Some((tokens, ask.at + GRANT_VALID))
    }

    /// Mean part of the last asks that was not granted, in [0, 1].
    pub fn scarcity(&self) -> f64 {
        self.scarcity
    }

    /// Forgets the VMs that are not ranked any more.
    pub fn retain(&mut self, ranking: &Ranking) {
        self.known.retain(|vm, _| ranking.vms().contains(vm));
    }

    /// Whether no grant may still come.
    pub fn is_idle(&self) -> bool {
        self.asks.is_empty()
    }
}
