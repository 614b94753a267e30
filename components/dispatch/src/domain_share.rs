use std::collections::HashMap;
use std::time::Duration;

use kernel::{Incarnation, Uptime};

/// Time within which a VM hears every other one that it is in touch with: standbys send a heartbeat
/// every second.
const TOUCH_TIMEOUT: Duration = Duration::from_millis(1300);
/// Silence of most others up to which a leader goes on spending half: its callers move to the new
/// leader within the lifetime of an address.
const MAX_DETACHED: Duration = Duration::from_millis(4500);
/// Silence after which an old leader must have stopped spending its half. Longer than
/// `MAX_DETACHED`, because the two may have heard each other for the last time a second apart.
const MAX_CONTEST: Duration = Duration::from_millis(5700);
/// Silence after which a leader that is cut off has noticed it, and spends half.
const NOTICE_TIME: Duration = Duration::from_millis(1500);
/// Silence after which a VM that did not announce its stop counts as lost for good.
const FORGET_TIMEOUT: Duration = Duration::from_secs(30);
/// Fraction for a VM that takes over while the old leader may still spend the whole share.
const UNNOTICED_FRACTION: f64 = 0.25;
/// Fraction that a leader may spend after it has lost touch with most others: its callers move to
/// the new leader.
const DETACHED_FRACTION: f64 = 0.5;

/// What a VM may spend of the shares that its failure domain has in the rates. Only a leader spends,
/// or the last one while it stops and no other VM is left; the others ask it for each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingRight {
    /// Fraction of the share of the failure domain. In [0, 1].
    pub fraction: f64,
    /// Whether the VM hears most others of its failure domain. If not, other failure domains may
    /// not have its reports either.
    pub in_touch: bool,
}

/// Decides how much of its failure domain's shares in the rates a VM may spend.
///
/// Handles VMs that are cut off from each other while callers reach both sides: the old leader goes
/// on serving and another VM takes over. Nobody can be asked, so both go by what they hear. A
/// leader that loses touch falls to half at once, and after `MAX_DETACHED` to the part of the VMs
/// that it hears. A VM that takes over from a leader that went silent takes what the other half
/// leaves to the VMs that it hears, and the whole only when the old leader is heard as a standby,
/// has restarted, or must have stopped. Standbys and VMs that start or stop spend nothing, so that
/// no number of them adds to a rate.
#[derive(Debug, Default)]
pub struct DomainShare {
    /// When each other VM of the failure domain was last heard. Holds no VM that has announced its
    /// stop or was restarted.
    heard: HashMap<Incarnation, Uptime>,
    /// Since when this VM leads; `None` for a standby.
    leading_since: Option<Uptime>,
    /// Whether another VM of the failure domain was ever heard.
    has_peers: bool,
    /// Whether this VM led or was alone when it was asked to stop, and has heard no leader since.
    led_last: bool,
    /// Leader that fell silent before this VM took over. In `heard` as long as it is set.
    predecessor: Option<Incarnation>,
}

impl DomainShare {
    /// Records a heartbeat of another VM of the failure domain; `leads` is whether it claims to be
    /// the leader.
    pub fn record_heartbeat(&mut self, now: Uptime, vm: Incarnation, leads: bool) {
        self.heard.retain(|_, at| now.saturating_sub(*at) < FORGET_TIMEOUT);
        self.heard.insert(vm, now);
        self.has_peers = true;
        self.led_last &= !leads;
        if self.predecessor == Some(vm) && !leads {
            self.predecessor = None;
        }
    }

    /// Removes a VM that has announced its stop, or was restarted.
    pub fn remove_vm(&mut self, vm: Incarnation) {
        self.heard.remove(&vm);
        if self.predecessor == Some(vm) {
            self.predecessor = None;
        }
    }

    /// Records that the process was asked to stop, and leads no more.
    pub fn begin_stop(&mut self) {
        self.led_last = self.leading_since.take().is_some() || !self.has_peers;
        self.predecessor = None;
    }

    /// Records whether this VM leads. `previous` is the leader known before. Returns whether this
    /// VM has just taken over while another one may still be serving.
    pub fn set_leading(&mut self, now: Uptime, leads: bool, previous: Option<Incarnation>) -> bool {
        if leads == self.leading_since.is_some() {
            return false;
        }
        self.leading_since = leads.then_some(now);
        self.predecessor = previous.filter(|vm| leads && self.heard.contains_key(vm));
        leads
            && (self.predecessor.is_some()
                || now.saturating_sub(self.majority_heard(now)) >= TOUCH_TIMEOUT)
    }

    /// Time for which this VM has led; `None` for a standby.
    pub fn led_for(&self, now: Uptime) -> Option<Duration> {
        self.leading_since.map(|since| now.saturating_sub(since))
    }

    /// Number of other VMs that were heard within a time.
    fn heard_within(&self, now: Uptime, timeout: Duration) -> usize {
        self.heard.values().filter(|at| now.saturating_sub(**at) < timeout).count()
    }

    /// Since when fewer than half of the others were heard, if none is heard from now on.
    fn majority_heard(&self, now: Uptime) -> Uptime {
        let mut known: Vec<Uptime> = self.heard.values().copied().collect();
        known.retain(|at| now.saturating_sub(*at) < FORGET_TIMEOUT);
        known.sort_unstable_by(|a, b| b.cmp(a));
        let needed = known.len().div_ceil(2);
        needed.checked_sub(1).map_or(now, |last| known[last])
    }

    /// What this VM may spend now.
    pub fn spending_right(&self, now: Uptime) -> SpendingRight {
        let vms = self.heard_within(now, FORGET_TIMEOUT) as f64 + 1.0;
        let group = self.heard_within(now, TOUCH_TIMEOUT) as f64 + 1.0;
        let heard_at = self.majority_heard(now);
        let silence = now.saturating_sub(heard_at);
        let in_touch = silence < TOUCH_TIMEOUT;
        let fraction = match self.leading_since {
            // Nobody has taken over, and nobody in touch will.
            None if self.led_last && group == 1.0 => 1.0 / vms,
            None => 0.0,
            Some(_) if in_touch => {
                let predecessor = self.predecessor.and_then(|vm| self.heard.get(&vm));
                match predecessor.map(|at| now.saturating_sub(*at)) {
                    Some(silent) if silent < NOTICE_TIME => UNNOTICED_FRACTION,
                    // Those that are silent spend their own part if they are cut off.
                    Some(silent) if silent < MAX_CONTEST => {
                        (group / vms - DETACHED_FRACTION).max(UNNOTICED_FRACTION)
                    }
                    _ => group / vms,
                }
            }
            Some(since) if since <= heard_at && silence < MAX_DETACHED => DETACHED_FRACTION,
            Some(_) if silence < NOTICE_TIME => UNNOTICED_FRACTION / vms,
            Some(_) => (group / vms).min(DETACHED_FRACTION),
        };
        SpendingRight { fraction, in_touch }
    }
}
