use std::sync::Arc;

use config::{FleetConfig, Key, KeyDigest, Name, SharedMap};

use crate::config_convert::{decode_digest, encode_organisation, encode_route, encode_service};
use crate::proto::{self, ConfigPart, EntryKind};
use crate::{FieldError, OperatorError};

/// Maximum number of entries in one part. A service of 50 backend servers takes about 5 KB, and
/// gRPC libraries reject messages above 4 MB by default.
const PAGE_ENTRIES: usize = 200;

/// Splits a configuration into parts without copying it as a whole.
pub(crate) struct Pager {
    config: Arc<FleetConfig>,
    /// Kinds still to send, the next one last.
    remaining_kinds: Vec<EntryKind>,
    /// Last organisation sent.
    organisation: Option<Name>,
    /// Last service or route sent.
    name: Option<Box<str>>,
    /// Last key sent.
    digest: Option<KeyDigest>,
    /// True once a part has been sent.
    sent: bool,
}

impl Pager {
    /// Creates an iterator over parts with the wanted kinds of entry; an empty list selects all.
    pub(crate) fn new(config: Arc<FleetConfig>, wanted: &[EntryKind]) -> Self {
        let all = [EntryKind::Route, EntryKind::Service, EntryKind::Key, EntryKind::Organisation];
        let remaining_kinds =
            all.into_iter().filter(|k| wanted.is_empty() || wanted.contains(k)).collect();
        Pager { config, remaining_kinds, organisation: None, name: None, digest: None, sent: false }
    }

    fn build_part(&mut self, kind: EntryKind) -> ConfigPart {
        let (config, name) = (&self.config, &mut self.name);
        let mut part = ConfigPart { version: config.version, ..ConfigPart::default() };
        match kind {
            EntryKind::Unspecified => {}
            EntryKind::Organisation => {
                part.organisations =
                    next_page(&config.organisations, &mut self.organisation, |id, o| {
                        encode_organisation(id, o)
                    });
            }
            EntryKind::Key => part.keys = next_page(&config.keys, &mut self.digest, encode_key),
            EntryKind::Service => {
                part.services = next_page(&config.services, name, |id, s| encode_service(id, s));
            }
            EntryKind::Route => {
                part.routes = next_page(&config.routes, name, |id, r| encode_route(id, r));
            }
        }
        part
    }
}

impl Iterator for Pager {
    type Item = ConfigPart;

    fn next(&mut self) -> Option<ConfigPart> {
        while let Some(&kind) = self.remaining_kinds.last() {
            let part = self.build_part(kind);
            if part.has_entries() {
                self.sent = true;
                return Some(part);
            }
            self.remaining_kinds.pop();
            self.name = None;
        }
        let first = !std::mem::replace(&mut self.sent, true);
        first.then(|| ConfigPart { version: self.config.version, ..ConfigPart::default() })
    }
}

impl ConfigPart {
    fn has_entries(&self) -> bool {
        !(self.organisations.is_empty()
            && self.keys.is_empty()
            && self.services.is_empty()
            && self.routes.is_empty())
    }

    /// Adds the entries of this part to a configuration and sets its version.
    pub(crate) fn add_to(self, config: &mut FleetConfig) -> Result<(), OperatorError> {
        let invalid_config = |error: FieldError| {
            let text = format!(
                "the configuration in the response is invalid ({error}); check the VM's release"
            );
            OperatorError::Internal(text.into())
        };
        config.version = self.version;
        for organisation in self.organisations {
            let (id, organisation): (Box<str>, _) = organisation.into();
            config.organisations.insert(id.into(), organisation);
        }
        config.routes.extend(self.routes.into_iter().map(Into::into));
        for key in self.keys {
            let digest = decode_digest(&key.digest).map_err(invalid_config)?;
            let organisation = key.organisation.into();
            config.keys.insert(digest, Key { organisation, withdrawn: key.withdrawn });
        }
        for service in self.services {
            let (id, service) = service.try_into().map_err(invalid_config)?;
            config.services.insert(id, service);
        }
        Ok(())
    }
}

fn encode_key(digest: &KeyDigest, key: &Key) -> proto::Key {
    proto::Key {
        digest: digest.as_bytes().to_vec(),
        organisation: key.organisation.to_string(),
        withdrawn: key.withdrawn,
    }
}

/// Encodes the entries that follow the last one sent.
fn next_page<K: Ord + Clone, V, M>(
    map: &SharedMap<K, V>,
    last: &mut Option<K>,
    encode: impl Fn(&K, &V) -> M,
) -> Vec<M> {
    let entries: Vec<_> = map.iter_after(last.as_ref()).take(PAGE_ENTRIES).collect();
    let messages = entries.iter().map(|(id, value)| encode(id, value)).collect();
    if let Some((id, _)) = entries.last() {
        *last = Some((*id).clone());
    }
    messages
}
