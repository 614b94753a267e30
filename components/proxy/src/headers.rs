/// Header with the organisation's key. The key never leaves the VM that the caller connected to.
pub const KEY_HEADER: &str = "papayareel-key";
/// Header with the time in milliseconds that the caller waits for the response.
pub const DEADLINE_HEADER: &str = "papayareel-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header of responses made by the fleet itself: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "papayareel-outcome";
/// Header with the request ID assigned by the fleet.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the metadata of a request that another VM forwards.
pub const FORWARD_HEADER: &str = "papayareel-forward";
/// Header with the MAC that proves that a VM of the fleet wrote the forward header.
pub const PROOF_HEADER: &str = "papayareel-proof";
/// Path at which callers resolve the addresses of a service.
pub const RESOLVE_PATH: &str = "/.papayareel/entry";

/// Header that tells a backend server the organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header that tells a backend server the milliseconds until the deadline.
pub const BACKEND_DEADLINE_HEADER: &str = "x-deadline-ms";
/// Response header of a backend server that did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Headers that apply to one connection only and are not forwarded.
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

/// Headers that only the fleet may set; a caller's values are removed.
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
