//! Names of HTTP headers, in the lower case that the libraries use.

/// Names a keyed request of a client account.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// `false` marks a request that must not be repeated.
pub const IDEMPOTENT: &str = "sill-idempotent";

/// `low`, `normal` or `high`.
pub const PRIORITY: &str = "sill-priority";

/// Time in which the caller wants the whole answer, in milliseconds.
pub const DEADLINE_MS: &str = "sill-deadline-ms";

/// Names the request in answers, logs and ledgers.
pub const REQUEST_ID: &str = "sill-request-id";

/// Which attempt of the request an endpoint is given.
pub const ATTEMPT: &str = "sill-attempt";

/// `true` on a refusal that is certified as not run.
pub const NOT_RUN: &str = "sill-not-run";

/// The endpoint that ends a stream early because it is leaving says so here or in a trailer event.
pub const LEAVING: &str = "sill-leaving";

/// Whole seconds after which to come back.
pub const RETRY_AFTER: &str = "retry-after";

/// Names a settings change, so that it can be sent again.
pub const CHANGE_ID: &str = "change-id";

/// The content type of streamed answers.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The id of the last event that a caller who came back has got.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Names the endpoint that a request is meant for; any other refuses it without running it.
pub const ENDPOINT: &str = "sill-endpoint";

/// Names the caller's account, for endpoints.
pub const ACCOUNT: &str = "sill-account";
