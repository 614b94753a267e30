use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use kernel::{Incarnation, OrganisationId, Uptime};
use slotmap::{SlotMap, new_key_type};

use crate::{Answer, Begin, Claimed, Finish, IdempotencyKey, MAX_ANSWER_BYTES, RequestDigest};

/// Time that a key stays known and runnable after its second of issue.
pub const RETENTION: Duration = Duration::from_secs(600);
/// A key may name a second that far ahead: the second is read without the table's lock.
const AHEAD: Duration = Duration::from_secs(1);
/// Time that an entry is kept after its last change. Longer than the latest time at which a key
/// issued `AHEAD` may still run, so that an entry outlives the right to run.
const KEPT: Duration = RETENTION.saturating_add(AHEAD).saturating_add(AHEAD);
/// Memory of an entry beside its texts, in bytes: the entry, its index and its place in two lists.
const ENTRY_BYTES: usize = 320;

/// Bounds of an [`AnswerTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLimits {
    /// Most keys.
    pub keys: usize,
    /// Most bytes of keys and answers.
    pub bytes: usize,
}

impl Default for AnswerLimits {
    /// 100,000 keys are 166 non-idempotent requests per second over the retention; they take about
    /// 50 MB with their texts, which leaves 14 MB for answers.
    fn default() -> Self {
        AnswerLimits { keys: 100_000, bytes: 64 * 1024 * 1024 }
    }
}

new_key_type! {
    struct EntryId;
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// A claim is under way.
    Claiming,
    /// Claims failed or the request did not run; a new claim may be made.
    Unclaimed,
    Running,
    Done(Answer),
    Unknown,
}

#[derive(Debug)]
struct Entry {
    organisation: OrganisationId,
    key: IdempotencyKey,
    digest: RequestDigest,
    state: State,
    /// First claim attempt of this entry. None of the attempts from it on has run, unless the
    /// state says so.
    first: u64,
    /// When the entry is dropped; none while a request claims or runs.
    expires: Option<Uptime>,
    /// Bytes counted for the entry without its answer.
    bytes: usize,
}

#[derive(Debug, Default)]
struct Held {
    keys: HashMap<IdempotencyKey, EntryId>,
    /// Entries with an answer, oldest first; may name entries that lost theirs.
    done: VecDeque<EntryId>,
    /// Bytes of the answers.
    answers: usize,
}

/// Keys and answers of the requests that this incarnation runs at most once.
#[derive(Debug)]
pub struct AnswerTable {
    own: Incarnation,
    limits: AnswerLimits,
    /// Latest time seen; never decreases.
    clock: Uptime,
    entries: SlotMap<EntryId, Entry>,
    held: BTreeMap<OrganisationId, Held>,
    /// Entries by time of expiry; stale if the entry's own time differs.
    expiry: VecDeque<(Uptime, EntryId)>,
    bytes: usize,
    attempts: u64,
}

impl AnswerTable {
    /// An empty table of the incarnation `own`.
    pub fn new(own: Incarnation, limits: AnswerLimits) -> Self {
        AnswerTable {
            own,
            limits,
            clock: Uptime::ZERO,
            entries: SlotMap::with_key(),
            held: BTreeMap::new(),
            expiry: VecDeque::new(),
            bytes: 0,
            attempts: 0,
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of keys and answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides what becomes of a request.
    pub fn begin(
        &mut self,
        now: Uptime,
        organisation: &str,
        key: &IdempotencyKey,
        digest: &RequestDigest,
    ) -> Begin {
        self.advance(now);
        if let IdempotencyKey::Issued { incarnation, .. } = key
            && *incarnation != self.own
        {
            return Begin::NotMine(*incarnation);
        }
        if let Some(id) = self.find(organisation, key) {
            return self.repeat(id, digest);
        }
        if let IdempotencyKey::Issued { second, .. } = key {
            let issued = Duration::from_secs(*second);
            if issued > self.clock + AHEAD {
                return Begin::Future;
            }
            if self.clock >= issued + RETENTION {
                return Begin::Expired;
            }
        }
        if !self.make_room(organisation, key) {
            return Begin::Full;
        }
        self.insert(organisation, key, digest)
    }

    /// Takes the result of a claim. Returns `Run`, `Unknown` or `Unclaimed`.
    pub fn claimed(
        &mut self,
        now: Uptime,
        organisation: &str,
        key: &IdempotencyKey,
        claimed: Claimed,
    ) -> Begin {
        self.advance(now);
        let Some(id) = self.find(organisation, key) else {
            return Begin::Unclaimed;
        };
        let entry = &mut self.entries[id];
        if entry.state != State::Claiming {
            return Begin::Unclaimed;
        }
        match claimed {
            // A row of an earlier attempt of this entry is a claim whose reply was lost; a row of
            // an attempt before the entry may belong to a run that is no longer known.
            Claimed::Row { incarnation, attempt }
                if incarnation == self.own && attempt >= entry.first =>
            {
                entry.state = State::Running;
                Begin::Run
            }
            Claimed::Row { .. } => {
                self.settle(id, State::Unknown);
                Begin::Unknown
            }
            Claimed::Failed => {
                self.settle(id, State::Unclaimed);
                Begin::Unclaimed
            }
        }
    }

    /// Ends a run. Returns whether this key was running.
    pub fn finish(
        &mut self,
        now: Uptime,
        organisation: &str,
        key: &IdempotencyKey,
        finish: Finish,
    ) -> bool {
        self.advance(now);
        let Some(id) = self.find(organisation, key) else {
            return false;
        };
        if self.entries[id].state != State::Running {
            return false;
        }
        match (finish, key) {
            (Finish::Answer(answer), _) if answer.body.len() <= MAX_ANSWER_BYTES => {
                self.keep_answer(id, answer);
            }
            (Finish::Answer(_) | Finish::Unknown, _) => self.settle(id, State::Unknown),
            (Finish::NotRun, IdempotencyKey::CallerMade(_)) => self.settle(id, State::Unclaimed),
            (Finish::NotRun, IdempotencyKey::Issued { .. }) => self.remove(id),
        }
        true
    }

    fn find(&self, organisation: &str, key: &IdempotencyKey) -> Option<EntryId> {
        self.held.get(organisation)?.keys.get(key).copied()
    }

    fn repeat(&mut self, id: EntryId, digest: &RequestDigest) -> Begin {
        let entry = &mut self.entries[id];
        if entry.state == State::Unclaimed {
            self.attempts += 1;
            entry.digest = *digest;
            entry.state = State::Claiming;
            entry.expires = None;
            return Begin::Claim { attempt: self.attempts };
        }
        if entry.digest != *digest {
            return Begin::Conflict;
        }
        match &entry.state {
            State::Claiming | State::Running | State::Unclaimed => Begin::Wait,
            State::Done(answer) => Begin::Replay(answer.clone()),
            State::Unknown => Begin::Unknown,
        }
    }

    fn insert(&mut self, organisation: &str, key: &IdempotencyKey, d: &RequestDigest) -> Begin {
        let issued = matches!(key, IdempotencyKey::Issued { .. });
        self.attempts += 1;
        let bytes = entry_bytes(organisation, key);
        self.bytes += bytes;
        let id = self.entries.insert(Entry {
            organisation: organisation.into(),
            key: key.clone(),
            digest: *d,
            state: if issued { State::Running } else { State::Claiming },
            first: self.attempts,
            expires: None,
            bytes,
        });
        self.held.entry(organisation.into()).or_default().keys.insert(key.clone(), id);
        if issued { Begin::Run } else { Begin::Claim { attempt: self.attempts } }
    }

    /// Sets a state that stays until the entry expires.
    fn settle(&mut self, id: EntryId, state: State) {
        let at = self.clock + KEPT;
        let entry = &mut self.entries[id];
        entry.state = state;
        entry.expires = Some(at);
        self.expiry.push_back((at, id));
    }

    fn keep_answer(&mut self, id: EntryId, answer: Answer) {
        let size = answer.size();
        self.settle(id, State::Unknown);
        if !self.evict(size) {
            return;
        }
        let entry = &mut self.entries[id];
        entry.state = State::Done(answer);
        self.bytes += size;
        if let Some(held) = self.held.get_mut(&entry.organisation) {
            held.answers += size;
            held.done.push_back(id);
        }
    }

    /// Whether a further key of the organisation fits, after answers have made way for it.
    ///
    /// An organisation may hold as many keys as are still free, so that the keys of one leave room
    /// for those of the others.
    fn make_room(&mut self, organisation: &str, key: &IdempotencyKey) -> bool {
        let free = self.limits.keys.saturating_sub(self.entries.len());
        let held = self.held.get(organisation).map_or(0, |h| h.keys.len());
        held < free && self.evict(entry_bytes(organisation, key))
    }

    /// Drops answers, those of the organisation with the most first, until `more` bytes fit.
    fn evict(&mut self, more: usize) -> bool {
        while self.bytes + more > self.limits.bytes {
            let largest = self.held.values_mut().max_by_key(|h| h.answers);
            let Some(held) = largest.filter(|h| h.answers > 0) else {
                return false;
            };
            let Some(id) = held.done.pop_front() else {
                return false;
            };
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            if let State::Done(answer) = &entry.state {
                let size = answer.size();
                held.answers -= size;
                self.bytes -= size;
                entry.state = State::Unknown;
            }
        }
        true
    }

    fn advance(&mut self, now: Uptime) {
        self.clock = self.clock.max(now);
        while let Some((at, id)) = self.expiry.front().copied() {
            if at > self.clock {
                break;
            }
            self.expiry.pop_front();
            if self.entries.get(id).is_some_and(|e| e.expires == Some(at)) {
                self.remove(id);
            }
        }
    }

    fn remove(&mut self, id: EntryId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.bytes -= entry.bytes;
        let Some(held) = self.held.get_mut(&entry.organisation) else {
            return;
        };
        held.keys.remove(&entry.key);
        if let State::Done(answer) = &entry.state {
            held.answers -= answer.size();
            self.bytes -= answer.size();
            // Answers expire in the order in which they came, so this one is in front.
            if held.done.front() == Some(&id) {
                held.done.pop_front();
            }
        }
        if held.keys.is_empty() {
            self.held.remove(&entry.organisation);
        }
    }
}

/// Bytes counted for a key; its texts are held by the entry and by the index.
fn entry_bytes(organisation: &str, key: &IdempotencyKey) -> usize {
    let text = match key {
        IdempotencyKey::Issued { nonce, .. } => nonce.len(),
        IdempotencyKey::CallerMade(text) => text.len(),
    };
    ENTRY_BYTES + organisation.len() + 2 * text
}
