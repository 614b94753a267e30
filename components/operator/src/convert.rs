use std::time::Duration;

use config::{Change, KeyDigest, Organisation, Route, Service};
use kernel::{BackendLimits, BackendSpec, Place, Rate};

use crate::proto::change::Kind;
use crate::{FieldFault, proto};

fn texts(items: &[Box<str>]) -> Vec<String> {
    items.iter().map(|item| item.to_string()).collect()
}

fn boxed(items: Vec<String>) -> Vec<Box<str>> {
    items.into_iter().map(Into::into).collect()
}

pub(crate) fn read_digest(bytes: &[u8]) -> Result<KeyDigest, FieldFault> {
    let text = "a key digest has 32 bytes; send the SHA-256 of the key";
    bytes.try_into().map(KeyDigest::from_bytes).map_err(|_| FieldFault::new("digest", text))
}

pub(crate) fn write_organisation(id: &str, organisation: &Organisation) -> proto::Organisation {
    let Organisation { rate: Rate { per_second, burst }, weight } = *organisation;
    proto::Organisation { id: id.into(), rate_per_second: per_second, burst, weight }
}

impl From<proto::Organisation> for (Box<str>, Organisation) {
    fn from(message: proto::Organisation) -> Self {
        let proto::Organisation { id, rate_per_second: per_second, burst, weight } = message;
        (id.into(), Organisation { rate: Rate { per_second, burst }, weight })
    }
}

pub(crate) fn write_service(id: &str, service: &Service) -> proto::Service {
    let backends = service.backends.iter().map(write_backend).collect();
    proto::Service { id: id.into(), floor: service.min_healthy, backends }
}

impl TryFrom<proto::Service> for (Box<str>, Service) {
    type Error = FieldFault;

    fn try_from(message: proto::Service) -> Result<Self, FieldFault> {
        let mut backends = Vec::with_capacity(message.backends.len());
        for (i, backend) in message.backends.into_iter().enumerate() {
            let backend = BackendSpec::try_from(backend);
            backends.push(backend.map_err(|e| e.below(format_args!("backends[{i}]")))?);
        }
        Ok((message.id.into(), Service { min_healthy: message.floor, backends }))
    }
}

fn write_backend(backend: &BackendSpec) -> proto::BackendServer {
    proto::BackendServer {
        id: backend.id.to_string(),
        address: backend.address.to_string(),
        region: backend.place.region.to_string(),
        domain: backend.place.domain.to_string(),
        slots: backend.limits.slots,
        connections: backend.limits.connections,
        draining: backend.draining,
    }
}

impl TryFrom<proto::BackendServer> for BackendSpec {
    type Error = FieldFault;

    fn try_from(message: proto::BackendServer) -> Result<Self, FieldFault> {
        let address = message.address.parse().map_err(|_| {
            let text = format!("{:?} is not an address; use IP:PORT", message.address);
            FieldFault::new("address", text)
        })?;
        let (slots, connections) = (message.slots, message.connections);
        Ok(BackendSpec {
            id: message.id.into(),
            address,
            place: Place { region: message.region.into(), domain: message.domain.into() },
            limits: BackendLimits { slots, connections },
            draining: message.draining,
        })
    }
}

pub(crate) fn write_route(id: &str, route: &Route) -> proto::Route {
    proto::Route {
        id: id.into(),
        prefix: route.prefix.to_string(),
        methods: texts(&route.methods),
        service: route.service.to_string(),
        open: route.public,
        idempotent: route.idempotent,
        weight: route.weight,
        deadline_ms: crate::status::to_millis(route.deadline),
        organisations: texts(&route.organisations),
    }
}

impl From<proto::Route> for (Box<str>, Route) {
    fn from(message: proto::Route) -> Self {
        let route = Route {
            prefix: message.prefix.into(),
            methods: boxed(message.methods),
            service: message.service.into(),
            public: message.open,
            idempotent: message.idempotent,
            weight: message.weight,
            deadline: Duration::from_millis(message.deadline_ms),
            organisations: boxed(message.organisations),
        };
        (message.id.into(), route)
    }
}

impl From<&Change> for proto::Change {
    fn from(change: &Change) -> Self {
        let kind = match change {
            Change::PutOrganisation { id, organisation } => {
                Kind::PutOrganisation(write_organisation(id, organisation))
            }
            Change::RemoveOrganisation { id } => Kind::RemoveOrganisation(id.to_string()),
            Change::PutService { id, service } => Kind::PutService(write_service(id, service)),
            Change::RemoveService { id } => Kind::RemoveService(id.to_string()),
            Change::PutRoute { id, route } => Kind::PutRoute(write_route(id, route)),
            Change::RemoveRoute { id } => Kind::RemoveRoute(id.to_string()),
            Change::IssueKey { digest, organisation } => Kind::IssueKey(proto::Key {
                digest: digest.as_bytes().to_vec(),
                organisation: organisation.to_string(),
                withdrawn: false,
            }),
            Change::WithdrawKey { digest } => Kind::WithdrawKey(digest.as_bytes().to_vec()),
        };
        proto::Change { kind: Some(kind) }
    }
}

impl TryFrom<proto::Change> for Change {
    type Error = FieldFault;

    fn try_from(message: proto::Change) -> Result<Self, FieldFault> {
        let unset = "no known change is set; set one, or ask a VM of a newer release";
        Ok(match message.kind.ok_or_else(|| FieldFault::new("", unset))? {
            Kind::PutOrganisation(message) => {
                let (id, organisation) = message.into();
                Change::PutOrganisation { id, organisation }
            }
            Kind::RemoveOrganisation(id) => Change::RemoveOrganisation { id: id.into() },
            Kind::PutService(message) => {
                let (id, service) =
                    message.try_into().map_err(|e: FieldFault| e.below("service"))?;
                Change::PutService { id, service }
            }
            Kind::RemoveService(id) => Change::RemoveService { id: id.into() },
            Kind::PutRoute(message) => {
                let (id, route) = message.into();
                Change::PutRoute { id, route }
            }
            Kind::RemoveRoute(id) => Change::RemoveRoute { id: id.into() },
            Kind::IssueKey(key) => Change::IssueKey {
                digest: read_digest(&key.digest)?,
                organisation: key.organisation.into(),
            },
            Kind::WithdrawKey(digest) => Change::WithdrawKey { digest: read_digest(&digest)? },
        })
    }
}
