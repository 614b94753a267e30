//! Tests of the holder with a table that loses replies, delays writes and becomes unreachable.

mod fake;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fake::{FakeTable, Fault};
use futures::executor::block_on;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rights::{Holder, LedgerError, RightsError, SessionError};

const LEASE: Duration = Duration::from_secs(100);
const TOTAL: u32 = 5;

fn holder(table: &Arc<FakeTable>, incarnation: u64) -> Holder {
    let time = Arc::clone(table);
    // Clocks start at different times and drift apart by up to 0.8%.
    let rate = 1000 + incarnation % 9;
    let clock = move || {
        let ms = time.clock_ms.load(Ordering::Relaxed);
        Duration::from_millis(incarnation * 77_777 + ms * rate / 1000)
    };
    Holder::new(Arc::clone(table) as _, incarnation, LEASE, Arc::new(clock))
}

fn claim(holder: &mut Holder, want: u32) -> Result<(u32, bool), RightsError> {
    block_on(holder.claim("rate", "o", want, TOTAL, TOTAL)).map(|held| (held.units, held.first_use))
}

/// Guards against reporting units as first used that were held before, which would give them a full
/// token bucket twice.
#[test]
fn only_units_never_held_before_are_reported_as_first_use() {
    let table = Arc::new(FakeTable::default());
    let (mut a, mut b) = (holder(&table, 1), holder(&table, 2));
    assert_eq!(claim(&mut a, 1), Err(SessionError::NotStarted.into()));
    block_on(a.renew()).unwrap();
    block_on(b.renew()).unwrap();
    table.inject(Fault::LostAfter);
    assert_eq!(claim(&mut a, 3), Ok((3, true)));
    block_on(a.release_all()).unwrap();
    assert_eq!(claim(&mut b, 2), Ok((2, true)));
    assert_eq!(claim(&mut b, 3), Ok((3, false)));
    assert_eq!(claim(&mut b, 3), Ok((3, false)));
}

/// Guards against a full token bucket for units that an expired lease has left in the row.
#[test]
fn units_left_from_an_expired_lease_are_not_first_use() {
    let table = Arc::new(FakeTable::default());
    let mut a = holder(&table, 1);
    block_on(a.renew()).unwrap();
    assert_eq!(claim(&mut a, 3), Ok((3, true)));
    table.advance(LEASE * 2);
    assert_eq!(claim(&mut a, 4), Err(SessionError::Expired.into()));
    assert!(block_on(a.renew()).unwrap().expired);
    assert_eq!(claim(&mut a, 4), Ok((4, false)));
    assert_eq!(claim(&mut a, 5), Ok((5, true)));
}

/// Guards against taking the units of a holder whose lease may not have expired by its own clock.
#[test]
fn units_of_a_silent_holder_are_free_after_lease_and_drift_margin() {
    let table = Arc::new(FakeTable::default());
    let (mut a, mut b) = (holder(&table, 1), holder(&table, 9));
    block_on(a.renew()).unwrap();
    assert_eq!(claim(&mut a, 5), Ok((5, true)));
    table.advance(Duration::from_secs(90));
    block_on(b.renew()).unwrap();
    let exhausted = Err(LedgerError::Exhausted { total: TOTAL }.into());
    assert_eq!(claim(&mut b, 1), exhausted);
    table.advance(Duration::from_secs(50));
    block_on(b.renew()).unwrap();
    table.advance(Duration::from_millis(50_900));
    assert!(a.held().is_empty());
    assert_eq!(claim(&mut b, 1), exhausted);
    table.advance(Duration::from_millis(200));
    assert_eq!(claim(&mut b, 1), Ok((1, false)));
}

/// Guards against a release whose reply was lost and that takes effect after the holder has claimed
/// the same units again, so that another VM could use them too.
#[test]
fn late_release_is_fenced_before_units_are_reused() {
    let table = Arc::new(FakeTable::default());
    let (mut a, mut b) = (holder(&table, 1), holder(&table, 2));
    block_on(a.renew()).unwrap();
    block_on(b.renew()).unwrap();
    claim(&mut a, 5).unwrap();
    table.inject(Fault::Delayed(2));
    table.inject(Fault::Unreachable);
    block_on(a.release("rate", "o", 0)).unwrap_err();
    assert!(a.held().is_empty());
    let again = claim(&mut a, 5).map(|held| held.0).unwrap_or(0);
    block_on(b.renew()).unwrap();
    let other = claim(&mut b, 5).map(|held| held.0).unwrap_or(0);
    assert!(again + other <= TOTAL, "{again} and {other} units are in use");
}

#[derive(Clone, Debug)]
enum Op {
    Renew(usize),
    Claim(usize, u32),
    Release(usize, u32),
    Replace(usize),
    Sleep(u64),
    Fault(Fault),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % 3;
        let n = u32::arbitrary(g) % (TOTAL + 1);
        let secs = u64::arbitrary(g) % 120;
        match u8::arbitrary(g) % 16 {
            0..5 => Op::Renew(vm),
            5..9 => Op::Claim(vm, n),
            9 | 10 => Op::Release(vm, n),
            11 => Op::Replace(vm),
            12 | 13 => Op::Sleep(secs),
            _ => Op::Fault(match u8::arbitrary(g) % 5 {
                0 => Fault::Unreachable,
                1 => Fault::LostAfter,
                2 => Fault::LostBefore,
                3 => Fault::Delayed(n as u8),
                _ => Fault::Paused(secs, u64::arbitrary(g) % 120),
            }),
        }
    }
}

fn in_use(vm: &Holder) -> u32 {
    vm.held().iter().map(|(_, _, held)| held.units).sum()
}

/// Runs the operations. Returns the maximum number of units in use at once and the number of units
/// claimed as first used.
fn run(ops: &[Op]) -> (u32, u32) {
    let table = Arc::new(FakeTable::default());
    let mut vms: Vec<Holder> = (1..=3).map(|i| holder(&table, i)).collect();
    let mut next = 3;
    let (mut max_in_use, mut first_used) = (0, 0);
    for op in ops {
        // Errors are expected; the test only counts the units that the holders report as held.
        match *op {
            Op::Renew(vm) => drop(block_on(vms[vm].renew())),
            Op::Claim(vm, want) => {
                let before = in_use(&vms[vm]);
                if let Ok((units, true)) = claim(&mut vms[vm], want) {
                    first_used += units - before;
                }
            }
            Op::Release(vm, keep) => drop(block_on(vms[vm].release("rate", "o", keep))),
            Op::Replace(vm) => {
                next += 1;
                vms[vm] = holder(&table, next);
            }
            Op::Sleep(secs) => table.advance(Duration::from_secs(secs)),
            Op::Fault(fault) => table.inject(fault),
        }
        max_in_use = max_in_use.max(vms.iter().map(in_use).sum());
    }
    (max_in_use, first_used)
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Guards against units that are used by two holders at once or reported as first used twice, with
/// random faults of the store, pauses and clock drift.
#[test]
fn units_in_use_and_first_used_units_never_exceed_total() {
    let rng = Gen::from_size_and_seed(120, env_or("PAPAYAREEL_FUZZ_SEED", 1));
    let cases = env_or("PAPAYAREEL_FUZZ_CASES", 2000);
    let check = |ops: Vec<Op>| {
        let (max_in_use, first_used) = run(&ops);
        max_in_use <= TOTAL && first_used <= TOTAL
    };
    QuickCheck::new().rng(rng).tests(cases).quickcheck(check as fn(Vec<Op>) -> bool);
}
