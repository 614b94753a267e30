//! Tests of changes of rows and sessions without a table.

use std::time::Duration;

use rights::{LedgerError, RightRow, Session, SessionError};

/// Guards against changing the total number of units by claims, transfers and removals of holders.
#[test]
fn total_is_conserved_when_units_change_holders() {
    let row = RightRow::new(16).claim(1, 10, 8).unwrap().row.claim(2, 5, 8).unwrap().row;
    assert_eq!((row.units_of(1), row.units_of(2), row.free()), (8, 5, 3));
    let moved = row.transfer(1, 2, 3).unwrap();
    assert_eq!((moved.units_of(1), moved.units_of(2), moved.free()), (5, 8, 3));
    assert_eq!(
        row.transfer(2, 1, 6),
        Err(LedgerError::InsufficientUnits { holder: 2, units: 5, requested: 6 })
    );
    let remaining = moved.remove_expired(|holder| holder == 2);
    assert_eq!((remaining.units_of(2), remaining.free()), (0, 11));
    let mixed = remaining.claim(3, 11, 16).unwrap();
    assert!(!mixed.first_use, "8 of these units were held before");
    assert_eq!(mixed.row.release(3, 20), mixed.row);
}

/// Guards against a holder that is paused during a renewal until its lease has expired, and does
/// not notice that other holders may have taken its units.
#[test]
fn renewal_confirmed_after_end_of_lease_reports_expiry() {
    let secs = Duration::from_secs;
    let mut session = Session::new(7, secs(100));
    assert_eq!(session.check_lease(secs(0)), Err(SessionError::NotStarted));
    session.begin_renewal(secs(10));
    assert!(!session.confirm_renewal(secs(15), secs(10), 1));
    assert_eq!(session.check_lease(secs(20)), Ok(secs(110)));
    session.begin_renewal(secs(109));
    assert!(session.confirm_renewal(secs(112), secs(109), 2), "the lease ended at 110 s");
    assert_eq!(session.check_lease(secs(112)), Ok(secs(209)));
    session.begin_renewal(secs(120));
    session.begin_renewal(secs(130));
    assert_eq!(session.confirm_from_read(secs(131), 2), None);
    assert_eq!(session.confirm_from_read(secs(131), 3), Some(false));
    assert_eq!(
        session.check_lease(secs(131)),
        Ok(secs(220)),
        "the lease counts from the first unconfirmed renewal"
    );
}
