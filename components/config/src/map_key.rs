use std::cmp::Ordering;

use crate::Name;

/// A key of a [`SharedMap`](crate::SharedMap) that can be looked up by a `Q` with the same order.
///
/// Replaces `Borrow`, which [`Name`] cannot implement for the name types of other crates.
pub trait MapKey<Q: ?Sized> {
    /// Compares this key with the other one.
    fn compare(&self, other: &Q) -> Ordering;
}

impl<K: Ord> MapKey<K> for K {
    fn compare(&self, other: &K) -> Ordering {
        self.cmp(other)
    }
}

impl MapKey<str> for Box<str> {
    fn compare(&self, other: &str) -> Ordering {
        (**self).cmp(other)
    }
}

impl MapKey<str> for Name {
    fn compare(&self, other: &str) -> Ordering {
        (**self).cmp(other)
    }
}

impl MapKey<Box<str>> for Name {
    fn compare(&self, other: &Box<str>) -> Ordering {
        (**self).cmp(other)
    }
}

impl MapKey<Name> for Box<str> {
    fn compare(&self, other: &Name) -> Ordering {
        (**self).cmp(other)
    }
}
