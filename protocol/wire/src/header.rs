//! Names of HTTP headers, in lower case as the HTTP libraries use them.

/// The caller's idempotency key, unique within its client account.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// `false` marks a request that must not be repeated.
pub const IDEMPOTENT: &str = "sill-idempotent";

/// The request's priority: `low`, `normal` or `high`.
pub const PRIORITY: &str = "sill-priority";

/// The time within which the caller needs the complete answer, in milliseconds.
pub const DEADLINE_MS: &str = "sill-deadline-ms";

/// The id of the request in answers, logs and ledgers.
pub const REQUEST_ID: &str = "sill-request-id";

/// The number of the request's attempt, sent to endpoints.
pub const ATTEMPT: &str = "sill-attempt";

/// `true` on a refusal that guarantees that the request has not run.
pub const NOT_RUN: &str = "sill-not-run";

/// `true` on all answers of an endpoint that is leaving, also on a stream that it ends early for it; a
/// trailer event may say the same.
pub const LEAVING: &str = "sill-leaving";

/// The number of requests that an endpoint may reject in a second for lack of room; it ends if it
/// has to reject more.
pub const REJECTION_BOUND: &str = "sill-rejection-bound";

/// The requests per second, as a decimal number, that an endpoint takes from all entry instances
/// together.
pub const REQUEST_LIMIT: &str = "sill-request-limit";

/// The load of an endpoint: the numbers of running and queued requests, the number of slots, and how
/// long work currently takes there in percent of the usual time, separated by commas. The last two may
/// be left out.
pub const LOAD: &str = "sill-load";

/// The number of whole seconds after which to retry.
pub const RETRY_AFTER: &str = "retry-after";

/// The id of a settings change, which makes retries of the change idempotent.
pub const CHANGE_ID: &str = "change-id";

/// The content type of streamed answers.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The id of the last event that a reconnecting caller has received.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// The id of the attempt that brought the first event of a stream which the caller takes up.
pub const RESUMES: &str = "sill-resumes";

/// The endpoint that a request is addressed to; any other endpoint refuses it without running it.
pub const ENDPOINT: &str = "sill-endpoint";

/// The caller's client account, sent to endpoints.
pub const ACCOUNT: &str = "sill-account";

/// The start time of the endpoint that a tunnel is asked for; with [`ENDPOINT`] it names an
/// incarnation.
pub const INCARNATION: &str = "sill-incarnation";

/// The number of a tunnel, which names it in the logs of both entry instances.
pub const TUNNEL: &str = "sill-tunnel";

/// Milliseconds since the entry instance that opens a tunnel was last answered by an endpoint.
pub const ANSWERED_AGE: &str = "sill-answered-age-ms";

/// The entry instance that asks for a tunnel.
pub const ENTRY: &str = "sill-entry";
