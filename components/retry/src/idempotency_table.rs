use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use kernel::{Incarnation, OrganisationId, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::{
    ClaimResult, IdempotencyKey, KeyDecision, MAX_STORED_BODY_BYTES, RequestDigest, RunOutcome,
    StoredResponse,
};

/// Time after the issue of a key during which a request with it may run and repeats are recognised.
pub const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Maximum time by which the time of issue of a key may be ahead of the table's clock. Keys are
/// issued without taking the table's lock, so the clock may be slightly behind.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(1);
/// Time for which an entry is kept after its last change. Longer than the remaining time in which
/// a key issued `MAX_CLOCK_LEAD` ahead may run, so that the key cannot run again after its entry
/// was dropped.
const ENTRY_RETENTION: Duration =
    KEY_RETENTION.saturating_add(MAX_CLOCK_LEAD).saturating_add(MAX_CLOCK_LEAD);
/// Memory of an entry without its strings: the entry, its index and its place in two lists.
const ENTRY_OVERHEAD_BYTES: usize = 320;

/// Limits of an [`IdempotencyTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdempotencyLimits {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum memory of keys and stored responses, in bytes.
    pub bytes: usize,
}

impl Default for IdempotencyLimits {
    /// 100,000 keys allow 166 non-idempotent requests per second over the retention time. They take
    /// about 50 MB with their strings, which leaves 14 MB for stored responses.
    fn default() -> Self {
        IdempotencyLimits { keys: 100_000, bytes: 64 * 1024 * 1024 }
    }
}

new_key_type! {
    struct EntryId;
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// A claim is in progress.
    Claiming,
    /// The claim failed or the request did not run; the key may be claimed again.
    Unclaimed,
    Running,
    Completed(StoredResponse),
    Unknown,
}

#[derive(Debug)]
struct Entry {
    organisation: OrganisationId,
    key: IdempotencyKey,
    digest: RequestDigest,
    state: State,
    /// Attempt number at the creation of the entry. No attempt from it on has run a request,
    /// unless the state says so.
    first_attempt: u64,
    /// Time at which the entry is dropped; `None` while a claim is in progress or a request runs.
    expires_at: Option<Uptime>,
    /// Memory counted for the entry without its stored response.
    bytes: usize,
}

#[derive(Debug, Default)]
struct OrganisationEntries {
    keys: HashMap<IdempotencyKey, EntryId>,
    /// Entries with a stored response, oldest first; may include entries whose response was
    /// evicted.
    completed: VecDeque<EntryId>,
    /// Memory of the stored responses.
    response_bytes: usize,
}

/// Idempotency keys and stored responses of the requests that this incarnation runs at most once.
#[derive(Debug)]
pub struct IdempotencyTable {
    own: Incarnation,
    limits: IdempotencyLimits,
    /// Latest time passed to any method; never decreases.
    clock: Uptime,
    entries: SlotMap<EntryId, Entry>,
    organisations: BTreeMap<OrganisationId, OrganisationEntries>,
    /// Entries by time of expiry. A record is stale if the `expires_at` of its entry differs.
    expiry: VecDeque<(Uptime, EntryId)>,
    bytes: usize,
    last_attempt: u64,
}

impl IdempotencyTable {
    /// Creates an empty table for the incarnation `own`.
    pub fn new(own: Incarnation, limits: IdempotencyLimits) -> Self {
        IdempotencyTable {
            own,
            limits,
            clock: Uptime::ZERO,
            entries: SlotMap::with_key(),
            organisations: BTreeMap::new(),
            expiry: VecDeque::new(),
            bytes: 0,
            last_attempt: 0,
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Memory of keys and stored responses, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides how to handle a request.
    pub fn begin(
        &mut self,
        now: Uptime,
        organisation: &str,
        key: &IdempotencyKey,
        digest: &RequestDigest,
    ) -> KeyDecision {
        self.advance_clock(now);
        if let IdempotencyKey::Issued { incarnation, .. } = key
            && *incarnation != self.own
        {
            return KeyDecision::OtherIncarnation(*incarnation);
        }
        if let Some(id) = self.find(organisation, key) {
            return self.decide_repeated(id, digest);
        }
        if let IdempotencyKey::Issued { second, .. } = key {
            let issued = Duration::from_secs(*second);
            if issued > self.clock + MAX_CLOCK_LEAD {
                return KeyDecision::IssuedInFuture;
            }
            if self.clock >= issued + KEY_RETENTION {
                return KeyDecision::Expired;
            }
        }
        if !self.make_room(organisation, key) {
            return KeyDecision::Full;
        }
        self.insert(organisation, key, digest)
    }

    /// Records the result of a claim. Returns `Run`, `Unknown` or `Unclaimed`.
    pub fn record_claim(
        &mut self,
        now: Uptime,
        organisation: &str,
        key: &IdempotencyKey,
        result: ClaimResult,
    ) -> KeyDecision {
        self.advance_clock(now);
        let Some(id) = self.find(organisation, key) else {
            return KeyDecision::Unclaimed;
        };
        let entry = &mut self.entries[id];
        if entry.state != State::Claiming {
            return KeyDecision::Unclaimed;
        }
        match result {
            // A row of an earlier attempt of this entry is a claim whose reply was lost. A row of
            // an attempt before the entry may belong to a request that ran and is no longer known.
            ClaimResult::Row { incarnation, attempt }
                if incarnation == self.own && attempt >= entry.first_attempt =>
            {
                entry.state = State::Running;
                KeyDecision::Run
            }
            ClaimResult::Row { .. } => {
                self.set_final(id, State::Unknown);
                KeyDecision::Unknown
            }
            ClaimResult::Failed => {
                self.set_final(id, State::Unclaimed);
                KeyDecision::Unclaimed
            }
        }
    }

    /// Records the outcome of a request. Returns whether a request with this key was running.
    pub fn finish(
        &mut self,
        now: Uptime,
        organisation: &str,
        key: &IdempotencyKey,
        outcome: RunOutcome,
    ) -> bool {
        self.advance_clock(now);
        let Some(id) = self.find(organisation, key) else {
            return false;
        };
        if self.entries[id].state != State::Running {
            return false;
        }
        match (outcome, key) {
            (RunOutcome::Response(response), _) if response.body.len() <= MAX_STORED_BODY_BYTES => {
                self.store_response(id, response);
            }
            (RunOutcome::Response(_) | RunOutcome::Unknown, _) => {
                self.set_final(id, State::Unknown)
            }
            (RunOutcome::NotRun, IdempotencyKey::CallerGenerated(_)) => {
                self.set_final(id, State::Unclaimed)
            }
            (RunOutcome::NotRun, IdempotencyKey::Issued { .. }) => self.remove(id),
        }
        true
    }

    fn find(&self, organisation: &str, key: &IdempotencyKey) -> Option<EntryId> {
        self.organisations.get(organisation)?.keys.get(key).copied()
    }

    /// Decides how to handle a request whose key has an entry.
    fn decide_repeated(&mut self, id: EntryId, digest: &RequestDigest) -> KeyDecision {
        let entry = &mut self.entries[id];
        if entry.state == State::Unclaimed {
            self.last_attempt += 1;
            entry.digest = *digest;
            entry.state = State::Claiming;
            entry.expires_at = None;
            return KeyDecision::Claim { attempt: self.last_attempt };
        }
        if entry.digest != *digest {
            return KeyDecision::Conflict;
        }
        match &entry.state {
            State::Claiming | State::Running | State::Unclaimed => KeyDecision::Wait,
            State::Completed(response) => KeyDecision::Replay(response.clone()),
            State::Unknown => KeyDecision::Unknown,
        }
    }

    fn insert(
        &mut self,
        organisation: &str,
        key: &IdempotencyKey,
        digest: &RequestDigest,
    ) -> KeyDecision {
        let issued = matches!(key, IdempotencyKey::Issued { .. });
        self.last_attempt += 1;
        let bytes = entry_bytes(organisation, key);
        self.bytes += bytes;
        let id = self.entries.insert(Entry {
            organisation: organisation.into(),
            key: key.clone(),
            digest: *digest,
            state: if issued { State::Running } else { State::Claiming },
            first_attempt: self.last_attempt,
            expires_at: None,
            bytes,
        });
        self.organisations.entry(organisation.into()).or_default().keys.insert(key.clone(), id);
        if issued { KeyDecision::Run } else { KeyDecision::Claim { attempt: self.last_attempt } }
    }

    /// Sets a state without a running request or claim and starts the retention of the entry.
    fn set_final(&mut self, id: EntryId, state: State) {
        let at = self.clock + ENTRY_RETENTION;
        let entry = &mut self.entries[id];
        entry.state = state;
        entry.expires_at = Some(at);
        self.expiry.push_back((at, id));
    }

    fn store_response(&mut self, id: EntryId, response: StoredResponse) {
        let size = response.size_bytes();
        self.set_final(id, State::Unknown);
        if !self.evict_responses(size) {
            return;
        }
        let entry = &mut self.entries[id];
        entry.state = State::Completed(response);
        self.bytes += size;
        if let Some(owned) = self.organisations.get_mut(&entry.organisation) {
            owned.response_bytes += size;
            owned.completed.push_back(id);
        }
    }

    /// Makes room for another key of the organisation by evicting stored responses. Returns whether
    /// the key fits.
    ///
    /// An organisation may hold at most as many keys as are still free, so that one organisation
    /// cannot use up the table.
    fn make_room(&mut self, organisation: &str, key: &IdempotencyKey) -> bool {
        let free = self.limits.keys.saturating_sub(self.entries.len());
        let owned_keys = self.organisations.get(organisation).map_or(0, |o| o.keys.len());
        owned_keys < free && self.evict_responses(entry_bytes(organisation, key))
    }

    /// Evicts stored responses, first those of the organisation that uses the most memory for them,
    /// until `needed_bytes` fit. Returns whether they fit.
    fn evict_responses(&mut self, needed_bytes: usize) -> bool {
        while self.bytes + needed_bytes > self.limits.bytes {
            let largest = self.organisations.values_mut().max_by_key(|o| o.response_bytes);
            let Some(owned) = largest.filter(|o| o.response_bytes > 0) else {
                return false;
            };
            let Some(id) = owned.completed.pop_front() else {
                return false;
            };
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            if let State::Completed(response) = &entry.state {
                let size = response.size_bytes();
                owned.response_bytes -= size;
                self.bytes -= size;
                entry.state = State::Unknown;
            }
        }
        true
    }

    /// Advances the clock and drops expired entries.
    fn advance_clock(&mut self, now: Uptime) {
        self.clock = self.clock.max(now);
        while let Some((at, id)) = self.expiry.front().copied() {
            if at > self.clock {
                break;
            }
            self.expiry.pop_front();
            if self.entries.get(id).is_some_and(|e| e.expires_at == Some(at)) {
                self.remove(id);
            }
        }
    }

    fn remove(&mut self, id: EntryId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.bytes -= entry.bytes;
        let Some(owned) = self.organisations.get_mut(&entry.organisation) else {
            return;
        };
        owned.keys.remove(&entry.key);
        if let State::Completed(response) = &entry.state {
            owned.response_bytes -= response.size_bytes();
            self.bytes -= response.size_bytes();
            // Responses expire in the order in which they were stored, so this one is at the front.
            if owned.completed.front() == Some(&id) {
                owned.completed.pop_front();
            }
        }
        if owned.keys.is_empty() {
            self.organisations.remove(&entry.organisation);
        }
    }
}

/// Memory counted for a key. Its text is stored twice, in the entry and in the index.
fn entry_bytes(organisation: &str, key: &IdempotencyKey) -> usize {
    let text = match key {
        IdempotencyKey::Issued { nonce, .. } => nonce.len(),
        IdempotencyKey::CallerGenerated(text) => text.len(),
    };
    ENTRY_OVERHEAD_BYTES + organisation.len() + 2 * text
}
