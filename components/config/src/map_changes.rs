use std::cmp::Ordering;
use std::sync::Arc;

use crate::SharedMap;
use crate::shared_map::Chunk;

/// An entry that differs between two maps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapChange<'a, K, V> {
    /// Its key.
    pub key: &'a K,
    /// Value in the older map; none if the entry is new.
    pub old: Option<&'a V>,
    /// Value in the newer map; none if the entry was removed.
    pub new: Option<&'a V>,
}

/// Walks through the chunks of a map.
struct Cursor<'a, K, V> {
    chunks: &'a [Chunk<K, V>],
    /// Entries of the first chunk that are done.
    done: usize,
}

impl<'a, K, V> Cursor<'a, K, V> {
    fn entry(&self) -> Option<&'a (K, V)> {
        self.chunks.first().map(|chunk| &chunk[self.done])
    }

    fn step(&mut self) {
        self.done += 1;
        if self.chunks.first().is_some_and(|chunk| chunk.len() == self.done) {
            self.skip();
        }
    }

    /// Goes to the next chunk.
    fn skip(&mut self) {
        self.chunks = &self.chunks[1..];
        self.done = 0;
    }

    /// The chunk whose first entry is next.
    fn whole(&self) -> Option<&'a Chunk<K, V>> {
        self.chunks.first().filter(|_| self.done == 0)
    }
}

/// Iterator over the entries that differ between two maps.
pub struct MapChanges<'a, K, V> {
    old: Cursor<'a, K, V>,
    new: Cursor<'a, K, V>,
}

impl<K: Ord, V: PartialEq> SharedMap<K, V> {
    /// Entries that differ from an older map, in order. What both share is not looked at, so that
    /// a change in a large configuration costs about as much as a small one.
    pub fn changes_since<'a>(&'a self, old: &'a Self) -> MapChanges<'a, K, V> {
        let cursor = |map: &'a Self| Cursor { chunks: map.chunks(), done: 0 };
        MapChanges { old: cursor(old), new: cursor(self) }
    }
}

impl<'a, K: Ord, V: PartialEq> Iterator for MapChanges<'a, K, V> {
    type Item = MapChange<'a, K, V>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if let (Some(old), Some(new)) = (self.old.whole(), self.new.whole())
                && Arc::ptr_eq(old, new)
            {
                self.old.skip();
                self.new.skip();
                continue;
            }
            let (old, new) = (self.old.entry(), self.new.entry());
            let order = match (old, new) {
                (None, None) => return None,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => old.0.cmp(&new.0),
            };
            let old = old.filter(|_| order.is_le());
            let new = new.filter(|_| order.is_ge());
            let key = old.or(new).map(|entry| &entry.0)?;
            if old.is_some() {
                self.old.step();
            }
            if new.is_some() {
                self.new.step();
            }
            let (old, new) = (old.map(|entry| &entry.1), new.map(|entry| &entry.1));
            if old != new {
                return Some(MapChange { key, old, new });
            }
        }
    }
}
