use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use quickcheck::{Arbitrary, Gen, TestResult};
use retry::{
    ClaimResult, IdempotencyKey, IdempotencyLimits, IdempotencyTable, KEY_RETENTION, KeyDecision,
    MAX_STORED_BODY_BYTES, RequestDigest, RunOutcome, StoredResponse, issue_prefix,
};

const OWN: u64 = 7;
const LIMITS: IdempotencyLimits = IdempotencyLimits { keys: 8, bytes: 8 * 340 + 4000 };

/// One call; `pick` chooses key, organisation and variant.
#[derive(Clone, Debug)]
enum Op {
    Begin { pick: u8, body: bool },
    Finish { pick: u8, how: u8 },
    RecordClaim { pick: u8, how: u8 },
    Advance { seconds: u16 },
    Back { seconds: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        let how = u8::arbitrary(g);
        match u8::arbitrary(g) % 14 {
            0..5 => Op::Begin { pick, body: how.is_multiple_of(5) },
            5..8 => Op::Finish { pick, how },
            8..10 => Op::RecordClaim { pick, how },
            // Times around the second of issue and the end of the retention are the hard ones.
            10..13 => Op::Advance {
                seconds: match how % 4 {
                    0 => u16::from(pick) % 6,
                    1 => 595 + u16::from(pick) % 10,
                    _ => u16::arbitrary(g) % 700,
                },
            },
            _ => Op::Back { seconds: how },
        }
    }
}

/// Organisation and key of a pick: some issued at fixed seconds, some made by the caller.
fn choose(pick: u8) -> (&'static str, IdempotencyKey) {
    let organisation = ["a", "b"][usize::from(pick) % 2];
    // Few keys, so that one sequence meets each of them often.
    let text = match pick / 2 % 8 {
        own @ 0..2 => format!("own-{own}"),
        n => format!("{}n", issue_prefix(OWN, [0, 5, 300, 590, 605, 1200][usize::from(n) - 2])),
    };
    (organisation, IdempotencyKey::try_from(&*text).expect("well-formed"))
}

fn response(tag: u64, size: usize) -> StoredResponse {
    let mut body = tag.to_be_bytes().to_vec();
    body.resize(size.max(8), 0);
    StoredResponse { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from(body) }
}

#[derive(Debug)]
struct Run {
    body: bool,
    /// End and answer; none while it runs.
    ended: Option<(Duration, Option<StoredResponse>)>,
}

/// What the calls so far allow: at most one run of each key that was not taken back.
#[derive(Default)]
struct Oracle {
    runs: HashMap<(&'static str, IdempotencyKey), Run>,
    /// Rows of the platform's table: incarnation and attempt.
    claims: HashMap<(&'static str, IdempotencyKey), (u64, u64)>,
    /// Attempt of the claim under way.
    attempts: HashMap<(&'static str, IdempotencyKey), u64>,
    /// Latest time that the table was given.
    clock: Duration,
    tag: u64,
}

type Id = (&'static str, IdempotencyKey);

impl Oracle {
    fn begun(&mut self, id: Id, body: bool, begin: &KeyDecision) -> Result<(), String> {
        let clock = self.clock;
        let Some(run) = self.runs.get(&id) else {
            match begin {
                KeyDecision::Run => {
                    self.runs.insert(id, Run { body, ended: None });
                }
                KeyDecision::Claim { attempt } => {
                    self.attempts.insert(id, *attempt);
                }
                KeyDecision::Replay(_) => return Err("a response without a run".into()),
                _ => {}
            }
            return Ok(());
        };
        if *begin == KeyDecision::Run {
            return Err(format!("second run of {id:?}"));
        }
        let known = run.ended.as_ref().is_none_or(|(at, _)| clock < *at + KEY_RETENTION);
        if !known {
            if let KeyDecision::Claim { attempt } = begin {
                self.attempts.insert(id, *attempt);
            }
            return Ok(());
        }
        let right = match (begin, &run.ended) {
            (KeyDecision::Conflict, _) => body != run.body,
            (KeyDecision::Wait, None) => body == run.body,
            (KeyDecision::Replay(got), Some((_, Some(kept)))) => body == run.body && got == kept,
            (KeyDecision::Unknown, Some(_)) => body == run.body,
            _ => false,
        };
        // Answers are too long to print.
        let (same, ended) = (body == run.body, run.ended.as_ref().map(|(at, _)| at));
        let replay = matches!(begin, KeyDecision::Replay(_));
        let begin = if replay { "a wrong replay".into() } else { format!("{begin:?}") };
        if right { Ok(()) } else { Err(format!("{begin}; same body {same}, ended {ended:?}")) }
    }

    fn finish(&mut self, table: &mut IdempotencyTable, now: Duration, id: Id, how: u8) {
        self.tag += 1;
        let size = [0, 900, 3000, MAX_STORED_BODY_BYTES + 1][usize::from(how) % 4];
        let finish = match how % 7 {
            0 => RunOutcome::NotRun,
            1 => RunOutcome::Unknown,
            _ => RunOutcome::Response(response(self.tag, size)),
        };
        if !table.finish(now, id.0, &id.1, finish.clone()) {
            return;
        }
        if finish == RunOutcome::NotRun {
            self.runs.remove(&id);
        } else if let Some(run) = self.runs.get_mut(&id) {
            let kept = if let RunOutcome::Response(a) = finish { Some(a) } else { None };
            run.ended = Some((self.clock, kept));
        }
    }

    /// Writes the claim row unless there is one, and loses the reply or the write now and then.
    fn claim(
        &mut self,
        table: &mut IdempotencyTable,
        now: Duration,
        id: Id,
        how: u8,
    ) -> Result<(), String> {
        let Some(attempt) = self.attempts.remove(&id) else {
            return Ok(());
        };
        self.clock = self.clock.max(now);
        let wanted = if how.is_multiple_of(8) { (OWN + 1, 1) } else { (OWN, attempt) };
        let row = if how.is_multiple_of(5) {
            None
        } else {
            Some(*self.claims.entry(id.clone()).or_insert(wanted))
        };
        let claimed = match row.filter(|_| !how.is_multiple_of(3)) {
            Some((incarnation, attempt)) => ClaimResult::Row { incarnation, attempt },
            None => ClaimResult::Failed,
        };
        if table.record_claim(now, id.0, &id.1, claimed) == KeyDecision::Run {
            if row.is_none_or(|(incarnation, _)| incarnation != OWN) {
                return Err("run without a claim".into());
            }
            if self.runs.insert(id, Run { body: false, ended: None }).is_some() {
                return Err("second run of a claimed key".into());
            }
        }
        Ok(())
    }
}

/// Guards against a second run of a key, a wrong answer, a key forgotten within its retention and
/// a table above its bounds, whatever the order of times, floods, evictions and lost claims.
#[test]
fn key_never_runs_twice() {
    fn property(ops: Vec<Op>) -> TestResult {
        let mut table = IdempotencyTable::new(OWN, LIMITS);
        let mut oracle = Oracle::default();
        let mut now = Duration::ZERO;
        for op in ops {
            let result = match op {
                Op::Begin { pick, body } => {
                    oracle.clock = oracle.clock.max(now);
                    let id = choose(pick);
                    // Caller-made keys have one body, so that the oracle knows that of a claim.
                    let body = body && matches!(id.1, IdempotencyKey::Issued { .. });
                    let digest = RequestDigest::of("POST", "/", &[u8::from(body)]);
                    let begin = table.begin(now, id.0, &id.1, &digest);
                    oracle.begun(id, body, &begin)
                }
                Op::Finish { pick, how } => {
                    oracle.clock = oracle.clock.max(now);
                    oracle.finish(&mut table, now, choose(pick), how);
                    Ok(())
                }
                Op::RecordClaim { pick, how } => oracle.claim(&mut table, now, choose(pick), how),
                Op::Advance { seconds } => {
                    now += Duration::from_secs(seconds.into());
                    Ok(())
                }
                Op::Back { seconds } => {
                    now = now.saturating_sub(Duration::from_secs(seconds.into()));
                    Ok(())
                }
            };
            if let Err(error) = result {
                return TestResult::error(error);
            }
            if table.len() > LIMITS.keys || table.bytes() > LIMITS.bytes {
                return TestResult::error(format!("{} keys, {} bytes", table.len(), table.bytes()));
            }
        }
        TestResult::passed()
    }
    fuzz::check(300, 600, property as fn(Vec<Op>) -> TestResult);
}

/// Guards against one organisation's keys or answers pushing out those of another.
#[test]
fn one_organisation_leaves_room() {
    let limits = IdempotencyLimits { keys: 100, bytes: 100_000 };
    let mut table = IdempotencyTable::new(OWN, limits);
    let digest = RequestDigest::of("POST", "/", b"");
    let key = |n: u32| IdempotencyKey::try_from(&*format!("{}{n}", issue_prefix(OWN, 0)));
    let begin = |table: &mut IdempotencyTable, organisation: &str, n: u32| {
        let key = key(n).expect("well-formed");
        let begin = table.begin(Duration::ZERO, organisation, &key, &digest);
        if begin == KeyDecision::Run {
            let response = RunOutcome::Response(response(n.into(), 3000));
            assert!(table.finish(Duration::ZERO, organisation, &key, response));
        }
        begin
    };
    assert_eq!(begin(&mut table, "calm", 0), KeyDecision::Run);
    let run = (0..200).filter(|n| begin(&mut table, "flood", *n) == KeyDecision::Run).count();
    assert!((45..=55).contains(&run), "{run}");
    assert_eq!(begin(&mut table, "flood", 300), KeyDecision::Full);
    assert_eq!(begin(&mut table, "calm", 1), KeyDecision::Run);
    assert!(
        matches!(begin(&mut table, "calm", 0), KeyDecision::Replay(_)),
        "the flood lost its answers"
    );
    assert_eq!(begin(&mut table, "flood", 0), KeyDecision::Unknown);
}

/// Guards against running keys of another incarnation, of the future or past the retention.
#[test]
fn foreign_and_untimely_keys_do_not_run() {
    let mut table = IdempotencyTable::new(OWN, IdempotencyLimits::default());
    let digest = RequestDigest::of("POST", "/", b"");
    let mut begin = |now: u64, text: String| {
        let key = IdempotencyKey::try_from(&*text).expect("well-formed");
        table.begin(Duration::from_secs(now), "a", &key, &digest)
    };
    assert_eq!(begin(10, format!("{}n", issue_prefix(9, 10))), KeyDecision::OtherIncarnation(9));
    assert_eq!(begin(10, format!("{}n", issue_prefix(OWN, 12))), KeyDecision::IssuedInFuture);
    assert_eq!(begin(10, format!("{}n", issue_prefix(OWN, u64::MAX))), KeyDecision::IssuedInFuture);
    assert_eq!(begin(10, format!("{}n", issue_prefix(OWN, 11))), KeyDecision::Run);
    assert_eq!(begin(609, format!("{}m", issue_prefix(OWN, 10))), KeyDecision::Run);
    assert_eq!(begin(610, format!("{}l", issue_prefix(OWN, 10))), KeyDecision::Expired);
}

/// Guards against dropping a key that was used ahead of its second while it may still run.
#[test]
fn entry_outlives_the_right_to_run() {
    let mut table = IdempotencyTable::new(OWN, IdempotencyLimits::default());
    let digest = RequestDigest::of("POST", "/", b"");
    let key =
        IdempotencyKey::try_from(&*format!("{}n", issue_prefix(OWN, 5))).expect("well-formed");
    let at = Duration::from_secs;
    assert_eq!(table.begin(at(4), "a", &key, &digest), KeyDecision::Run);
    assert!(table.finish(at(4), "a", &key, RunOutcome::Unknown));
    for now in 4..=620 {
        let begin = table.begin(at(now), "a", &key, &digest);
        assert!(
            matches!(begin, KeyDecision::Unknown | KeyDecision::Expired),
            "{begin:?} at {now} s"
        );
    }
}
