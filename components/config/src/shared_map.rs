use std::fmt;
use std::ops::Index;
use std::slice;
use std::sync::Arc;

use crate::MapKey;

/// Entries of a full chunk. A change copies one chunk; a clone of the map copies one pointer for
/// each chunk, 3,750 for 480,000 entries.
const FULL: usize = 128;

/// Spare entries that a chunk takes when it grows. Doubling would waste a third of the memory.
const SPARE: usize = 8;

/// Where an entry of an unchanged map is: chunk, and place in the chunk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Place(u32, u16);

pub(crate) type Chunk<K, V> = Arc<Vec<(K, V)>>;

/// A sorted map whose clones share what is the same.
///
/// Every accepted change makes a new configuration while requests still read the old one. At the
/// design size a `BTreeMap` took 155 MB, each clone another 150 MB and 0.35 s. The persistent
/// B-tree of the `imbl` library shares as well, but needs 63 MB for 480,000 keys instead of the 42
/// of chunks without gaps, since its nodes are partly empty.
pub struct SharedMap<K, V> {
    /// Never empty ones, each sorted, in order.
    chunks: Vec<Chunk<K, V>>,
    /// Entries of all chunks.
    len: usize,
}

impl<K, V> SharedMap<K, V> {
    /// An empty map.
    pub const fn new() -> Self {
        SharedMap { chunks: Vec::new(), len: 0 }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes every entry.
    pub fn clear(&mut self) {
        *self = SharedMap::new();
    }

    /// Entries in order.
    pub fn iter(&self) -> Iter<'_, K, V> {
        Iter { chunks: self.chunks.iter(), entries: [].iter() }
    }

    /// The chunks, in order.
    pub(crate) fn chunks(&self) -> &[Chunk<K, V>] {
        &self.chunks
    }

    /// Entries in order with their places.
    pub(crate) fn places(&self) -> impl Iterator<Item = (Place, &K, &V)> {
        self.chunks.iter().zip(0..).flat_map(|(chunk, at)| {
            chunk.iter().zip(0..).map(move |((key, value), place)| (Place(at, place), key, value))
        })
    }

    /// The entry at a place that [`places`](Self::places) of this map gave.
    pub(crate) fn at(&self, Place(chunk, place): Place) -> (&K, &V) {
        let (key, value) = &self.chunks[chunk as usize][usize::from(place)];
        (key, value)
    }

    /// Keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.iter().map(|(key, _)| key)
    }

    /// Values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_, value)| value)
    }
}

impl<K: Ord, V> SharedMap<K, V> {
    /// The chunk that has the key or would take it; 0 if there is none.
    fn find_chunk<Q: ?Sized>(&self, key: &Q) -> usize
    where
        K: MapKey<Q>,
    {
        self.chunks.partition_point(|chunk| chunk[0].0.compare(key).is_le()).saturating_sub(1)
    }

    /// Chunk and place of a key.
    fn find<Q: ?Sized>(&self, key: &Q) -> Option<(usize, usize)>
    where
        K: MapKey<Q>,
    {
        let at = self.find_chunk(key);
        let place = self.chunks.get(at)?.binary_search_by(|entry| entry.0.compare(key));
        Some((at, place.ok()?))
    }

    /// The value of a key.
    pub fn get<Q: ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: MapKey<Q>,
    {
        let (at, place) = self.find(key)?;
        Some(&self.chunks[at][place].1)
    }

    /// Whether the key has a value.
    pub fn contains_key<Q: ?Sized>(&self, key: &Q) -> bool
    where
        K: MapKey<Q>,
    {
        self.find(key).is_some()
    }

    /// Entries in order that come after a key; all for none.
    pub fn iter_after<Q: ?Sized>(&self, key: Option<&Q>) -> impl Iterator<Item = (&K, &V)>
    where
        K: MapKey<Q>,
    {
        let first = key.map_or(0, |key| self.find_chunk(key));
        let entries = self.chunks[first.min(self.chunks.len())..].iter().flat_map(|c| c.iter());
        let after = move |entry: &&(K, V)| key.is_some_and(|key| entry.0.compare(key).is_le());
        entries.skip_while(after).map(|(key, value)| (key, value))
    }
}

impl<K: Ord + Clone, V: Clone> SharedMap<K, V> {
    /// The value of a key, for a change. Copies the chunk if another map shares it.
    pub fn get_mut<Q: ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: MapKey<Q>,
    {
        let (at, place) = self.find(key)?;
        Some(&mut Arc::make_mut(&mut self.chunks[at])[place].1)
    }

    /// Sets the value of a key and returns the one that it had.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let at = self.find_chunk(&key);
        let Some(chunk) = self.chunks.get_mut(at) else {
            self.chunks.push(Arc::new(vec![(key, value)]));
            self.len = 1;
            return None;
        };
        let place = chunk.binary_search_by(|entry| entry.0.cmp(&key));
        let chunk = Arc::make_mut(chunk);
        let place = match place {
            Ok(place) => return Some(std::mem::replace(&mut chunk[place].1, value)),
            Err(place) => place,
        };
        self.len += 1;
        if chunk.len() < FULL {
            if chunk.len() == chunk.capacity() {
                chunk.reserve_exact(SPARE);
            }
            chunk.insert(place, (key, value));
            return None;
        }
        // Entries that come in order leave full chunks behind; others leave halves.
        let cut = if place == FULL { FULL } else { FULL / 2 };
        let mut upper = chunk.split_off(cut);
        if place >= cut {
            upper.insert(place - cut, (key, value));
        } else {
            chunk.insert(place, (key, value));
        }
        chunk.shrink_to_fit();
        self.chunks.insert(at + 1, Arc::new(upper));
        None
    }

    /// Removes a key and returns the value that it had.
    pub fn remove<Q: ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: MapKey<Q>,
    {
        let (at, place) = self.find(key)?;
        self.len -= 1;
        let chunk = Arc::make_mut(&mut self.chunks[at]);
        let (_, value) = chunk.remove(place);
        let left = chunk.len();
        if left == 0 {
            self.chunks.remove(at);
        } else if self.chunks.get(at + 1).is_some_and(|next| left + next.len() <= FULL / 2) {
            let next = self.chunks.remove(at + 1);
            Arc::make_mut(&mut self.chunks[at]).extend(next.iter().cloned());
        }
        Some(value)
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        let kept = self.iter().filter(|(key, value)| keep(key, value));
        *self = kept.map(|(key, value)| (key.clone(), value.clone())).collect();
    }
}

/// Iterator over the entries of a [`SharedMap`].
pub struct Iter<'a, K, V> {
    chunks: slice::Iter<'a, Chunk<K, V>>,
    entries: slice::Iter<'a, (K, V)>,
}

impl<'a, K, V> Iterator for Iter<'a, K, V> {
    type Item = (&'a K, &'a V);

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if let Some((key, value)) = self.entries.next() {
                return Some((key, value));
            }
            self.entries = self.chunks.next()?.iter();
        }
    }
}

impl<'a, K, V> IntoIterator for &'a SharedMap<K, V> {
    type Item = (&'a K, &'a V);
    type IntoIter = Iter<'a, K, V>;

    fn into_iter(self) -> Iter<'a, K, V> {
        self.iter()
    }
}

impl<K: Ord + Clone, V: Clone> Extend<(K, V)> for SharedMap<K, V> {
    fn extend<I: IntoIterator<Item = (K, V)>>(&mut self, entries: I) {
        entries.into_iter().for_each(|(key, value)| drop(self.insert(key, value)));
    }
}

impl<K: Ord + Clone, V: Clone> FromIterator<(K, V)> for SharedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = SharedMap::new();
        map.extend(entries);
        map
    }
}

impl<K: Ord + Clone, V: Clone, const N: usize> From<[(K, V); N]> for SharedMap<K, V> {
    fn from(entries: [(K, V); N]) -> Self {
        entries.into_iter().collect()
    }
}

impl<K: Ord + MapKey<Q>, Q: ?Sized, V> Index<&Q> for SharedMap<K, V> {
    type Output = V;

    /// Panics if the key has no value, like the maps of the standard library.
    fn index(&self, key: &Q) -> &V {
        self.get(key).expect("the key has a value")
    }
}

impl<K, V> Clone for SharedMap<K, V> {
    fn clone(&self) -> Self {
        SharedMap { chunks: self.chunks.clone(), len: self.len }
    }
}

impl<K, V> Default for SharedMap<K, V> {
    fn default() -> Self {
        SharedMap::new()
    }
}

impl<K: PartialEq, V: PartialEq> PartialEq for SharedMap<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl<K: fmt::Debug, V: fmt::Debug> fmt::Debug for SharedMap<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self).finish()
    }
}
