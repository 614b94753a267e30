use std::collections::BTreeMap;

/// Capacity of the log; beyond it the older half is dropped, and VMs with an older version need the
/// complete list.
const MAX_ENTRIES: usize = 4096;

/// Version at which each entry of a list last changed, so that a VM that has an older version is
/// sent only the changes since.
///
/// Handles a release on thousands of backend servers: sending the complete list to every VM of a
/// failure domain at each change would saturate the link of the VM that sends it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Version of the last change or removal, by key.
    changed: BTreeMap<Box<str>, u64>,
    /// Oldest version since which all changes are in the log; none before the first list.
    oldest_base: Option<u64>,
}

impl ChangeLog {
    /// Records the keys that a new version changed or removed. The keys of the first list are not
    /// changes.
    pub fn record(&mut self, version: u64, keys: impl Iterator<Item = Box<str>>) {
        if self.oldest_base.is_none() {
            self.oldest_base = Some(version);
            return;
        }
        self.changed.extend(keys.map(|key| (key, version)));
        if self.changed.len() > MAX_ENTRIES {
            let mut versions: Vec<u64> = self.changed.values().copied().collect();
            versions.sort_unstable();
            let cut = versions[versions.len() / 2];
            self.changed.retain(|_, at| *at > cut);
            self.oldest_base = self.oldest_base.max(Some(cut));
        }
    }

    /// Keys that changed after a version; none if the complete list must be sent.
    pub fn since(&self, version: u64) -> Option<Vec<&str>> {
        self.oldest_base.filter(|base| version >= *base)?;
        let changed = self.changed.iter().filter(|(_, at)| **at > version);
        Some(changed.map(|(key, _)| &**key).collect())
    }
}
