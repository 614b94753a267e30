use std::collections::BTreeMap;

/// Most entries in the log; above it the older half is dropped, and VMs that lag behind it need the
/// whole list.
const MOST: usize = 4096;

/// Versions of a list at which its entries last changed, so that a VM that knows an older version
/// gets only what has changed since.
///
/// Answers a release on thousands of backend servers: the whole list at each change, to every VM of a
/// failure domain, fills the link of the one that has it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Last change or removal by key.
    changed: BTreeMap<Box<str>, u64>,
    /// Oldest version after which all changes are in the log; none before the first list.
    from: Option<u64>,
}

impl ChangeLog {
    /// Records the keys that a new version changed or removed. The first list has no changes.
    pub fn record(&mut self, version: u64, keys: impl Iterator<Item = Box<str>>) {
        if self.from.is_none() {
            self.from = Some(version);
            return;
        }
        self.changed.extend(keys.map(|key| (key, version)));
        if self.changed.len() > MOST {
            let mut versions: Vec<u64> = self.changed.values().copied().collect();
            versions.sort_unstable();
            let cut = versions[versions.len() / 2];
            self.changed.retain(|_, at| *at > cut);
            self.from = self.from.max(Some(cut));
        }
    }

    /// Keys that changed after a version; none if only the whole list will do.
    pub fn since(&self, version: u64) -> Option<Vec<&str>> {
        self.from.filter(|from| version >= *from)?;
        let changed = self.changed.iter().filter(|(_, at)| **at > version);
        Some(changed.map(|(key, _)| &**key).collect())
    }
}
