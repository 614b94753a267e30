use std::sync::Arc;

use config::{FleetConfig, Key, KeyDigest, Name, SharedMap};

use crate::config_convert::{read_digest, write_organisation, write_route, write_service};
use crate::proto::{self, ConfigPart, EntryKind};
use crate::{FieldError, OperatorError};

/// Entries of one part. A service of 50 backend servers takes about 5 KB, and gRPC libraries
/// refuse messages above 4 MB by default.
const PAGE: usize = 200;

/// Cuts a configuration into parts without copying it.
pub(crate) struct Pager {
    config: Arc<FleetConfig>,
    /// Kinds still to send, the next one last.
    kinds: Vec<EntryKind>,
    /// Last organisation that was sent.
    organisation: Option<Name>,
    /// Last service or route that was sent.
    name: Option<Box<str>>,
    /// Last key that was sent.
    digest: Option<KeyDigest>,
    /// True once a part was sent.
    sent: bool,
}

impl Pager {
    /// Parts with the entries of these kinds; no kind gives all.
    pub(crate) fn new(config: Arc<FleetConfig>, wanted: &[EntryKind]) -> Self {
        let all = [EntryKind::Route, EntryKind::Service, EntryKind::Key, EntryKind::Organisation];
        let kinds = all.into_iter().filter(|k| wanted.is_empty() || wanted.contains(k)).collect();
        Pager { config, kinds, organisation: None, name: None, digest: None, sent: false }
    }

    fn fill(&mut self, kind: EntryKind) -> ConfigPart {
        let (config, name) = (&self.config, &mut self.name);
        let mut part = ConfigPart { version: config.version, ..ConfigPart::default() };
        match kind {
            EntryKind::Unspecified => {}
            EntryKind::Organisation => {
                part.organisations =
                    page(&config.organisations, &mut self.organisation, |id, o| {
                        write_organisation(id, o)
                    });
            }
            EntryKind::Key => part.keys = page(&config.keys, &mut self.digest, write_key),
            EntryKind::Service => {
                part.services = page(&config.services, name, |id, s| write_service(id, s));
            }
            EntryKind::Route => {
                part.routes = page(&config.routes, name, |id, r| write_route(id, r));
            }
        }
        part
    }
}

impl Iterator for Pager {
    type Item = ConfigPart;

    fn next(&mut self) -> Option<ConfigPart> {
        while let Some(&kind) = self.kinds.last() {
            let part = self.fill(kind);
            if part.encodes_entries() {
                self.sent = true;
                return Some(part);
            }
            self.kinds.pop();
            self.name = None;
        }
        let first = !std::mem::replace(&mut self.sent, true);
        first.then(|| ConfigPart { version: self.config.version, ..ConfigPart::default() })
    }
}

impl ConfigPart {
    fn encodes_entries(&self) -> bool {
        !(self.organisations.is_empty()
            && self.keys.is_empty()
            && self.services.is_empty()
            && self.routes.is_empty())
    }

    /// Adds the entries of this part to a configuration.
    pub(crate) fn add_to(self, config: &mut FleetConfig) -> Result<(), OperatorError> {
        let garbled = |fault: FieldError| {
            let text =
                format!("the configuration cannot be read ({fault}); check the VM's release");
            OperatorError::Internal(text.into())
        };
        config.version = self.version;
        for organisation in self.organisations {
            let (id, organisation): (Box<str>, _) = organisation.into();
            config.organisations.insert(id.into(), organisation);
        }
        config.routes.extend(self.routes.into_iter().map(Into::into));
        for key in self.keys {
            let digest = read_digest(&key.digest).map_err(garbled)?;
            let organisation = key.organisation.into();
            config.keys.insert(digest, Key { organisation, withdrawn: key.withdrawn });
        }
        for service in self.services {
            let (id, service) = service.try_into().map_err(garbled)?;
            config.services.insert(id, service);
        }
        Ok(())
    }
}

fn write_key(digest: &KeyDigest, key: &Key) -> proto::Key {
    proto::Key {
        digest: digest.as_bytes().to_vec(),
        organisation: key.organisation.to_string(),
        withdrawn: key.withdrawn,
    }
}

/// The entries after the last one that was sent.
fn page<K: Ord + Clone, V, M>(
    map: &SharedMap<K, V>,
    last: &mut Option<K>,
    write: impl Fn(&K, &V) -> M,
) -> Vec<M> {
    let entries: Vec<_> = map.iter_after(last.as_ref()).take(PAGE).collect();
    let messages = entries.iter().map(|(id, value)| write(id, value)).collect();
    if let Some((id, _)) = entries.last() {
        *last = Some((*id).clone());
    }
    messages
}
