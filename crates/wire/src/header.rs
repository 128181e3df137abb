//! HTTP header names of the callers' interface and of the engines' protocol.

/// Client account of the caller.
pub const ACCOUNT: &str = "x-account";
/// Name of the requested tier.
pub const TIER: &str = "x-tier";
/// Time the caller allows for the complete response, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Idempotency key, as issued by `POST /v1/idempotency-keys`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request identifier, on every response to a caller and every request to an engine.
pub const REQUEST_ID: &str = "x-request-id";
/// Outcome of a refused request: `not_run`, `incomplete` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Identifies one run of a backend server's process, on each of its responses.
pub const ENGINE_INSTANCE: &str = "x-engine-instance";
/// Requests a second that a backend server takes, as a decimal number, on its responses while it
/// limits them.
pub const RATE_LIMIT: &str = "x-rate-limit";
/// Fencing number of an order to an engine.
pub const FENCE: &str = "x-fence";
