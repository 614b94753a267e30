/// Header with the organisation's key. It never leaves the VM that the caller connected to.
pub const KEY_HEADER: &str = "papayareel-key";
/// Header with the milliseconds that the caller will wait.
pub const DEADLINE_HEADER: &str = "papayareel-deadline-ms";
/// Header that names a request which may not run twice.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header of fleet-made responses: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "papayareel-outcome";
/// Header with the number that the fleet gave the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of a request that another VM forwards.
pub const FORWARD_HEADER: &str = "papayareel-forward";
/// Header that proves that a VM of the fleet wrote the forward header.
pub const PROOF_HEADER: &str = "papayareel-proof";
/// Path of the entry responses.
pub const RESOLVE_PATH: &str = "/.papayareel/entry";

/// Header with the organisation, for backend servers.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header with the milliseconds left, for backend servers.
pub const BACKEND_DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header of a backend server that did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Headers of one connection, which are not passed on.
pub const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
];

/// Request headers that only the fleet may set.
pub const RESERVED_HEADERS: &[&str] = &[
    KEY_HEADER,
    DEADLINE_HEADER,
    FORWARD_HEADER,
    PROOF_HEADER,
    OUTCOME_HEADER,
    ORGANISATION_HEADER,
    BACKEND_DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
];
