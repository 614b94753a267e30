use std::time::Duration;

use retry::{
    HedgePolicy, IdempotencyKey, KeyError, MAX_ATTEMPTS, RetryBudget, RetryDenied, RetryRequest,
    SentState, admit_retry, issue_prefix,
};

const MS: Duration = Duration::from_millis(1);

fn request() -> RetryRequest<'static> {
    RetryRequest {
        service: "s",
        organisation: "o",
        idempotent: true,
        sent: SentState::MaybeSent,
        attempts: 1,
        deadline: MS * 1000,
        expected: MS * 20,
    }
}

/// Guards against retries above 5% of the first attempts, and against a burst of retries from
/// tokens that accumulated over a long time.
#[test]
fn budget_is_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let mut taken = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt("s", "o");
        taken += u32::from(budget.take_retry("s", "o"));
    }
    assert!((450..=452).contains(&taken), "{taken}");
    for _ in 0..10_000 {
        budget.record_first_attempt("s", "o");
    }
    let hedges = (0..100).filter(|_| budget.take_hedge("s", "o")).count();
    let retries = (0..100).filter(|_| budget.take_retry("s", "o")).count();
    assert_eq!((hedges, retries), (5, 5), "hedges leave half of the tokens for retries");
    assert!(budget.take_retry("s", "other"), "another organisation has its own budget");
    budget.retain(|_, organisation| organisation != "o");
    assert!(budget.has_retry("s", "o"), "a new organisation starts with the initial tokens");
}

/// Guards against running a request twice that must not, and against endless retries.
#[test]
fn retry_is_denied_for_each_reason() {
    let mut budget = RetryBudget::default();
    let mut ask = |change: fn(&mut RetryRequest<'static>)| {
        let mut r = request();
        change(&mut r);
        admit_retry(MS * 100, &r, &mut budget)
    };
    assert_eq!(ask(|r| r.idempotent = false), Err(RetryDenied::MayHaveRun));
    assert_eq!(ask(|r| r.attempts = MAX_ATTEMPTS), Err(RetryDenied::Attempts));
    assert_eq!(ask(|r| r.expected = MS * 900), Err(RetryDenied::Deadline));
    let unsent = |r: &mut RetryRequest<'static>| {
        (r.idempotent, r.sent) = (false, SentState::NotSent);
    };
    for _ in 0..10 {
        assert_eq!(ask(unsent), Ok(()), "an unsent request costs no budget");
    }
    assert_eq!(ask(|r| (r.idempotent, r.sent) = (false, SentState::NotExecuted)), Ok(()));
    assert_eq!(ask(|_| ()), Ok(()));
    assert_eq!(ask(|_| ()), Err(RetryDenied::Budget));
}

/// Guards against hedges of requests that must not run twice, hedges that are sent too early and
/// hedges that cannot meet the deadline.
#[test]
fn hedge_delay_follows_latency() {
    let mut policy = HedgePolicy::default();
    assert_eq!(policy.time_to_hedge(MS, MS, MS * 1000, true), None, "there are no samples yet");
    for i in 0..1000 {
        policy.record(MS * if i % 100 < 99 { 50 } else { 400 });
    }
    let delay = policy.delay().expect("enough samples");
    assert!((MS * 49..MS * 52).contains(&delay), "{delay:?}");
    assert_eq!(policy.time_to_hedge(MS * 30, MS * 10, MS * 1000, true), Some(delay - MS * 20));
    assert_eq!(policy.time_to_hedge(MS * 10, MS * 10, MS * 1000, false), None);
    assert_eq!(
        policy.time_to_hedge(MS * 10, MS * 10, MS * 80, true),
        None,
        "the hedge cannot meet the deadline"
    );
    for _ in 0..3000 {
        policy.record(MS * 200);
    }
    assert!(policy.delay().is_some_and(|d| d > MS * 190), "the delay follows the slower service");
}

/// Guards against keys with two spellings, under which a request could run twice, and against
/// accepting keys of an unknown format.
#[test]
fn each_key_has_one_spelling() {
    let parse = |text: &str| IdempotencyKey::try_from(text);
    let text = format!("{}n.1", issue_prefix(0xab, 17));
    assert_eq!(text, "v1.00000000000000ab.17.n.1");
    let issued = IdempotencyKey::Issued { incarnation: 0xab, second: 17, nonce: "n.1".into() };
    assert_eq!(parse(&text), Ok(issued.clone()));
    assert_eq!(issued.to_string(), text);
    for own in ["order-7", "v", "v1", "version.2", "vx.1"] {
        assert_eq!(parse(own), Ok(IdempotencyKey::CallerGenerated(own.into())));
        assert_eq!(parse(own).map(|k| k.to_string()), Ok(own.to_owned()));
    }
    let bad = |text: &str| parse(text).expect_err(text);
    assert_eq!(bad(""), KeyError::Empty);
    assert_eq!(bad(&"k".repeat(129)), KeyError::TooLong(129));
    assert_eq!(bad("a b"), KeyError::InvalidByte(b' '));
    assert_eq!(bad("v2.x"), KeyError::UnknownFormat("v2".into()));
    assert_eq!(bad("v1.ab.1.n"), KeyError::InvalidIncarnation("ab".into()));
    assert_eq!(
        bad("v1.00000000000000AB.1.n"),
        KeyError::InvalidIncarnation("00000000000000AB".into())
    );
    assert_eq!(
        bad("v1.0000000000000000.1.n"),
        KeyError::InvalidIncarnation("0000000000000000".into())
    );
    for second in ["01", "+1", "", "-1", "99999999999999999999999"] {
        let text = format!("v1.00000000000000ab.{second}.n");
        assert_eq!(bad(&text), KeyError::InvalidSecond(second.into()));
    }
    assert_eq!(bad("v1.00000000000000ab.1."), KeyError::NonceLength(0));
}
