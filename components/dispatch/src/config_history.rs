use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use kernel::prelude::*;
use thiserror::Error;

use crate::compression::{compress, decompress};

/// Bytes of patches that are kept in any case. Beyond this and [`MAX_PATCH_FRACTION`] the oldest
/// are dropped, and VMs that are further behind get the whole configuration.
const MIN_PATCH_BYTES: usize = 64 << 10;
/// Part of the size of the configuration that patches may take.
const MAX_PATCH_FRACTION: usize = 16;

/// Why an update cannot be applied. The whole configuration can be, whatever is held.
#[derive(Debug, Error)]
pub enum ConfigUpdateError {
    /// The first patch starts from another version than the one held.
    #[error("the patch starts from version {from}, and version {held} is held; pull the whole one")]
    WrongBase {
        /// Version that the patch starts from.
        from: ConfigVersion,
        /// Version that is held.
        held: ConfigVersion,
    },
    /// The bytes are damaged, or belong to another text of this version.
    #[error("the compressed configuration cannot be read: {0}; pull the whole one")]
    Damaged(#[from] io::Error),
}

/// Difference between two consecutive versions that a VM has held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPatch {
    /// Version that it starts from.
    pub from: ConfigVersion,
    /// Version that it leads to.
    pub to: ConfigVersion,
    /// The text of `to`, compressed with the text of `from` as the dictionary.
    pub bytes: Arc<[u8]>,
}

/// What a VM with an older version needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigUpdate {
    /// Patches in order, each from the version that the previous one leads to.
    Patches(Vec<ConfigPatch>),
    /// The compressed text.
    Whole(Arc<[u8]>),
}

impl ConfigUpdate {
    /// Number of bytes to send.
    pub fn size(&self) -> usize {
        match self {
            ConfigUpdate::Patches(patches) => patches.iter().map(|p| p.bytes.len()).sum(),
            ConfigUpdate::Whole(bytes) => bytes.len(),
        }
    }
}

/// The encoded configuration in force, and how it came about from earlier ones.
///
/// Handles changes of a large configuration on many VMs: most versions change one route, and
/// sending the whole text to every VM of a failure domain would saturate the link of the VM that
/// sends it.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    text: Option<Arc<[u8]>>,
    version: ConfigVersion,
    /// Each starts from the version that the previous one leads to; the last leads to `version`.
    patches: VecDeque<ConfigPatch>,
    /// The compressed text, once a VM has needed it.
    whole: Option<Arc<[u8]>>,
}

impl ConfigHistory {
    /// Version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Replaces the text in force by that of a newer version. `received` holds the patches that
    /// the text was made with, so that they need not be computed again.
    pub fn replace(
        &mut self,
        version: ConfigVersion,
        text: Arc<[u8]>,
        received: &[ConfigPatch],
    ) -> io::Result<()> {
        let (from, previous) = (self.version, self.text.replace(Arc::clone(&text)));
        self.version = version;
        self.whole = None;
        let leads_here = received.first().is_some_and(|patch| patch.from == from)
            && received.last().is_some_and(|patch| patch.to == version);
        match previous {
            _ if leads_here => self.patches.extend(received.iter().cloned()),
            Some(previous) => match compress(&text, &previous) {
                Ok(bytes) => {
                    let bytes = bytes.into();
                    self.patches.push_back(ConfigPatch { from, to: version, bytes });
                }
                Err(error) => {
                    self.patches.clear();
                    return Err(error);
                }
            },
            None => {}
        }
        let max = MIN_PATCH_BYTES.max(text.len() / MAX_PATCH_FRACTION);
        let mut size: usize = self.patches.iter().map(|patch| patch.bytes.len()).sum();
        while size > max {
            let Some(dropped) = self.patches.pop_front() else { break };
            size -= dropped.bytes.len();
        }
        Ok(())
    }

    /// What a VM with a version needs; none if it has this one or a newer one.
    pub fn since(&mut self, version: ConfigVersion) -> io::Result<Option<ConfigUpdate>> {
        let Some(text) = self.text.as_ref().filter(|_| version < self.version) else {
            return Ok(None);
        };
        if let Some(first) = self.patches.iter().position(|patch| patch.from == version) {
            let patches = self.patches.iter().skip(first).cloned().collect();
            return Ok(Some(ConfigUpdate::Patches(patches)));
        }
        let whole = match &self.whole {
            Some(whole) => Arc::clone(whole),
            None => compress(text, &[])?.into(),
        };
        self.whole = Some(Arc::clone(&whole));
        Ok(Some(ConfigUpdate::Whole(whole)))
    }

    /// The text in force, which an older release needs as it is.
    pub fn text(&self) -> Option<Arc<[u8]>> {
        self.text.clone()
    }

    /// The text that an update leads to. Nothing is replaced by it.
    pub fn updated_text(&self, update: &ConfigUpdate) -> Result<Vec<u8>, ConfigUpdateError> {
        let patches = match update {
            ConfigUpdate::Whole(bytes) => return Ok(decompress(bytes, &[])?),
            ConfigUpdate::Patches(patches) => patches,
        };
        let mut held = self.version;
        let mut text = self.text.as_deref().unwrap_or_default().to_vec();
        for patch in patches {
            if patch.from != held {
                return Err(ConfigUpdateError::WrongBase { from: patch.from, held });
            }
            text = decompress(&patch.bytes, &text)?;
            held = patch.to;
        }
        Ok(text)
    }
}
