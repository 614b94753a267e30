use std::fmt;
use std::ops::Index;
use std::slice;
use std::sync::Arc;

use crate::MapKey;

/// Bounds the cost of a change, which copies one chunk. A clone copies one pointer for each chunk,
/// 3,750 for 480,000 entries.
const MAX_CHUNK_ENTRIES: usize = 128;

/// Capacity that a full chunk grows by. Doubling it would waste a third of the memory.
const CHUNK_GROWTH_ENTRIES: usize = 8;

/// Index of an entry: index of the chunk, and position in the chunk. Valid until the map changes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EntryIndex(u32, u16);

pub(crate) type Chunk<K, V> = Arc<Vec<(K, V)>>;

/// A sorted copy-on-write map whose clones share the chunks in which they do not differ.
///
/// Every accepted change creates a new configuration while requests still read the old one. At the
/// design size a `BTreeMap` took 155 MB, and each clone another 150 MB and 0.35 s. The persistent
/// B-tree of the `imbl` crate shares data as well, but its partly empty nodes take 63 MB for
/// 480,000 keys, and chunks without gaps take 42 MB.
pub struct SharedMap<K, V> {
    /// Non-empty sorted chunks, in order of their keys.
    chunks: Vec<Chunk<K, V>>,
    /// Number of entries in all chunks.
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

    /// Entries in order with their indexes.
    pub(crate) fn iter_indexed(&self) -> impl Iterator<Item = (EntryIndex, &K, &V)> {
        self.chunks.iter().zip(0..).flat_map(|(chunk, chunk_index)| {
            chunk.iter().zip(0..).map(move |((key, value), position)| {
                (EntryIndex(chunk_index, position), key, value)
            })
        })
    }

    /// The entry at an index that [`iter_indexed`](Self::iter_indexed) of this map returned.
    pub(crate) fn entry_at(&self, EntryIndex(chunk, position): EntryIndex) -> (&K, &V) {
        let (key, value) = &self.chunks[chunk as usize][usize::from(position)];
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
    /// Index of the chunk that has the key or would get it; 0 if the map is empty.
    fn find_chunk<Q: ?Sized>(&self, key: &Q) -> usize
    where
        K: MapKey<Q>,
    {
        self.chunks.partition_point(|chunk| chunk[0].0.compare(key).is_le()).saturating_sub(1)
    }

    /// Index of the chunk and position in it of a key.
    fn find<Q: ?Sized>(&self, key: &Q) -> Option<(usize, usize)>
    where
        K: MapKey<Q>,
    {
        let chunk_index = self.find_chunk(key);
        let position = self.chunks.get(chunk_index)?.binary_search_by(|entry| entry.0.compare(key));
        Some((chunk_index, position.ok()?))
    }

    /// The value of a key.
    pub fn get<Q: ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: MapKey<Q>,
    {
        let (chunk_index, position) = self.find(key)?;
        Some(&self.chunks[chunk_index][position].1)
    }

    /// Whether the key has a value.
    pub fn contains_key<Q: ?Sized>(&self, key: &Q) -> bool
    where
        K: MapKey<Q>,
    {
        self.find(key).is_some()
    }

    /// Entries after a key, in order; all entries for `None`.
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
    /// Mutable reference to the value of a key. Copies the chunk if another map shares it.
    pub fn get_mut<Q: ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: MapKey<Q>,
    {
        let (chunk_index, position) = self.find(key)?;
        Some(&mut Arc::make_mut(&mut self.chunks[chunk_index])[position].1)
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let chunk_index = self.find_chunk(&key);
        let Some(chunk) = self.chunks.get_mut(chunk_index) else {
            self.chunks.push(Arc::new(vec![(key, value)]));
            self.len = 1;
            return None;
        };
        let position = chunk.binary_search_by(|entry| entry.0.cmp(&key));
        let chunk = Arc::make_mut(chunk);
        let position = match position {
            Ok(position) => return Some(std::mem::replace(&mut chunk[position].1, value)),
            Err(position) => position,
        };
        self.len += 1;
        if chunk.len() < MAX_CHUNK_ENTRIES {
            if chunk.len() == chunk.capacity() {
                chunk.reserve_exact(CHUNK_GROWTH_ENTRIES);
            }
            chunk.insert(position, (key, value));
            return None;
        }
        // An insertion at the end keeps the chunk full, so that ascending keys fill every chunk;
        // others split it into halves.
        let split_position =
            if position == MAX_CHUNK_ENTRIES { MAX_CHUNK_ENTRIES } else { MAX_CHUNK_ENTRIES / 2 };
        let mut upper = chunk.split_off(split_position);
        if position >= split_position {
            upper.insert(position - split_position, (key, value));
        } else {
            chunk.insert(position, (key, value));
        }
        chunk.shrink_to_fit();
        self.chunks.insert(chunk_index + 1, Arc::new(upper));
        None
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: MapKey<Q>,
    {
        let (chunk_index, position) = self.find(key)?;
        self.len -= 1;
        let chunk = Arc::make_mut(&mut self.chunks[chunk_index]);
        let (_, value) = chunk.remove(position);
        let remaining = chunk.len();
        if remaining == 0 {
            self.chunks.remove(chunk_index);
        } else if self
            .chunks
            .get(chunk_index + 1)
            .is_some_and(|next| remaining + next.len() <= MAX_CHUNK_ENTRIES / 2)
        {
            let next = self.chunks.remove(chunk_index + 1);
            Arc::make_mut(&mut self.chunks[chunk_index]).extend(next.iter().cloned());
        }
        Some(value)
    }

    /// Keeps only the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        let retained = self.iter().filter(|(key, value)| keep(key, value));
        *self = retained.map(|(key, value)| (key.clone(), value.clone())).collect();
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
