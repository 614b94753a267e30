use std::time::Duration;

use config::{Change, KeyDigest, Organisation, Route, Service};
use kernel::{BackendLimits, BackendSpec, Place, Rate};

use crate::proto::change::Kind;
use crate::{FieldError, proto};

fn to_strings(items: &[Box<str>]) -> Vec<String> {
    items.iter().map(|item| item.to_string()).collect()
}

fn to_boxed_strs(items: Vec<String>) -> Vec<Box<str>> {
    items.into_iter().map(Into::into).collect()
}

pub(crate) fn decode_digest(bytes: &[u8]) -> Result<KeyDigest, FieldError> {
    let text = "a key digest must have 32 bytes; send the SHA-256 digest of the key";
    bytes.try_into().map(KeyDigest::from_bytes).map_err(|_| FieldError::new("digest", text))
}

pub(crate) fn encode_organisation(id: &str, organisation: &Organisation) -> proto::Organisation {
    let Organisation { rate: Rate { per_second, burst }, weight } = *organisation;
    proto::Organisation { id: id.into(), rate_per_second: per_second, burst, weight }
}

impl From<proto::Organisation> for (Box<str>, Organisation) {
    fn from(message: proto::Organisation) -> Self {
        let proto::Organisation { id, rate_per_second: per_second, burst, weight } = message;
        (id.into(), Organisation { rate: Rate { per_second, burst }, weight })
    }
}

pub(crate) fn encode_service(id: &str, service: &Service) -> proto::Service {
    let backends = service.backends.iter().map(encode_backend).collect();
    proto::Service { id: id.into(), floor: service.min_healthy, backends }
}

impl TryFrom<proto::Service> for (Box<str>, Service) {
    type Error = FieldError;

    fn try_from(message: proto::Service) -> Result<Self, FieldError> {
        let mut backends = Vec::with_capacity(message.backends.len());
        for (i, backend) in message.backends.into_iter().enumerate() {
            let backend = BackendSpec::try_from(backend);
            backends.push(backend.map_err(|e| e.prefix_path(format_args!("backends[{i}]")))?);
        }
        Ok((message.id.into(), Service { min_healthy: message.floor, backends }))
    }
}

fn encode_backend(backend: &BackendSpec) -> proto::BackendServer {
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
    type Error = FieldError;

    fn try_from(message: proto::BackendServer) -> Result<Self, FieldError> {
        let address = message.address.parse().map_err(|_| {
            let text = format!("{:?} is not a socket address; use IP:PORT", message.address);
            FieldError::new("address", text)
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

pub(crate) fn encode_route(id: &str, route: &Route) -> proto::Route {
    proto::Route {
        id: id.into(),
        prefix: route.prefix.to_string(),
        methods: to_strings(&route.methods),
        service: route.service.to_string(),
        open: route.public,
        idempotent: route.idempotent,
        weight: route.weight,
        deadline_ms: crate::status::to_millis(route.deadline),
        organisations: to_strings(&route.organisations),
    }
}

impl From<proto::Route> for (Box<str>, Route) {
    fn from(message: proto::Route) -> Self {
        let route = Route {
            prefix: message.prefix.into(),
            methods: to_boxed_strs(message.methods),
            service: message.service.into(),
            public: message.open,
            idempotent: message.idempotent,
            weight: message.weight,
            deadline: Duration::from_millis(message.deadline_ms),
            organisations: to_boxed_strs(message.organisations),
        };
        (message.id.into(), route)
    }
}

impl From<&Change> for proto::Change {
    fn from(change: &Change) -> Self {
        let kind = match change {
            Change::PutOrganisation { id, organisation } => {
                Kind::PutOrganisation(encode_organisation(id, organisation))
            }
            Change::RemoveOrganisation { id } => Kind::RemoveOrganisation(id.to_string()),
            Change::PutService { id, service } => Kind::PutService(encode_service(id, service)),
            Change::RemoveService { id } => Kind::RemoveService(id.to_string()),
            Change::PutRoute { id, route } => Kind::PutRoute(encode_route(id, route)),
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
    type Error = FieldError;

    fn try_from(message: proto::Change) -> Result<Self, FieldError> {
        let unset =
            "the change is empty or of an unknown kind; set one, or use a VM of a newer release";
        Ok(match message.kind.ok_or_else(|| FieldError::new("", unset))? {
            Kind::PutOrganisation(message) => {
                let (id, organisation) = message.into();
                Change::PutOrganisation { id, organisation }
            }
            Kind::RemoveOrganisation(id) => Change::RemoveOrganisation { id: id.into() },
            Kind::PutService(message) => {
                let (id, service) =
                    message.try_into().map_err(|e: FieldError| e.prefix_path("service"))?;
                Change::PutService { id, service }
            }
            Kind::RemoveService(id) => Change::RemoveService { id: id.into() },
            Kind::PutRoute(message) => {
                let (id, route) = message.into();
                Change::PutRoute { id, route }
            }
            Kind::RemoveRoute(id) => Change::RemoveRoute { id: id.into() },
            Kind::IssueKey(key) => Change::IssueKey {
                digest: decode_digest(&key.digest)?,
                organisation: key.organisation.into(),
            },
            Kind::WithdrawKey(digest) => Change::WithdrawKey { digest: decode_digest(&digest)? },
        })
    }
}
