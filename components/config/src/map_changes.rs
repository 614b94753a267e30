use std::cmp::Ordering;
use std::sync::Arc;

use crate::SharedMap;
use crate::shared_map::Chunk;

/// An entry that differs between two maps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapChange<'a, K, V> {
    /// Key of the entry.
    pub key: &'a K,
    /// Value in the older map; `None` if the entry is new.
    pub old: Option<&'a V>,
    /// Value in the newer map; `None` if the entry was removed.
    pub new: Option<&'a V>,
}

/// Position in the entries of a map.
struct Cursor<'a, K, V> {
    /// The current chunk and those after it.
    chunks: &'a [Chunk<K, V>],
    /// Index of the next entry in the current chunk.
    position: usize,
}

impl<'a, K, V> Cursor<'a, K, V> {
    fn entry(&self) -> Option<&'a (K, V)> {
        self.chunks.first().map(|chunk| &chunk[self.position])
    }

    fn advance(&mut self) {
        self.position += 1;
        if self.chunks.first().is_some_and(|chunk| chunk.len() == self.position) {
            self.skip_chunk();
        }
    }

    /// Moves to the start of the next chunk.
    fn skip_chunk(&mut self) {
        self.chunks = &self.chunks[1..];
        self.position = 0;
    }

    /// The current chunk, if none of its entries was read yet.
    fn unread_chunk(&self) -> Option<&'a Chunk<K, V>> {
        self.chunks.first().filter(|_| self.position == 0)
    }
}

/// Iterator over the entries that differ between two maps.
pub struct MapChanges<'a, K, V> {
    old: Cursor<'a, K, V>,
    new: Cursor<'a, K, V>,
}

impl<K: Ord, V: PartialEq> SharedMap<K, V> {
    /// Iterates over the entries that differ from an older map, in order. Chunks that both maps
    /// share are skipped without comparing them, so that the cost depends on the size of the
    /// difference and hardly on the size of the map.
    pub fn changes_since<'a>(&'a self, old: &'a Self) -> MapChanges<'a, K, V> {
        let cursor = |map: &'a Self| Cursor { chunks: map.chunks(), position: 0 };
        MapChanges { old: cursor(old), new: cursor(self) }
    }
}

impl<'a, K: Ord, V: PartialEq> Iterator for MapChanges<'a, K, V> {
    type Item = MapChange<'a, K, V>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if let (Some(old), Some(new)) = (self.old.unread_chunk(), self.new.unread_chunk())
                && Arc::ptr_eq(old, new)
            {
                self.old.skip_chunk();
                self.new.skip_chunk();
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
                self.old.advance();
            }
            if new.is_some() {
                self.new.advance();
            }
            let (old, new) = (old.map(|entry| &entry.1), new.map(|entry| &entry.1));
            if old != new {
                return Some(MapChange { key, old, new });
            }
        }
    }
}
