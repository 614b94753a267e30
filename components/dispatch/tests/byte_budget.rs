//! Bytes of bodies that a VM holds at once.

use dispatch::ByteBudget;

#[test]
fn bytes_beyond_the_limit_are_not_taken() {
    let mut budget = ByteBudget::new(100);
    assert!(budget.take(60));
    assert!(!budget.take(41), "all or none");
    assert!(budget.take(40));
    assert!(!budget.take(1));
    budget.give_back(60);
    assert_eq!(budget.held(), 40);
    assert!(budget.take(60) && budget.take(0));
    assert!(!budget.take(usize::MAX));
}
