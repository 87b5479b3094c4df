//! Error messages of the gateway.

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A gRPC status code.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, From, Into,
)]
#[serde(transparent)]
pub struct Code(pub u32);

impl Code {
    /// The request is malformed, whatever the state of the store.
    pub const INVALID_ARGUMENT: Code = Code(3);
    /// Something that the request names does not exist.
    pub const NOT_FOUND: Code = Code(5);
    /// The caller has no permission for the call.
    pub const PERMISSION_DENIED: Code = Code(7);
    /// A quota or a rate limit of the store is exceeded.
    pub const RESOURCE_EXHAUSTED: Code = Code(8);
    /// The state of the store does not allow the request.
    pub const FAILED_PRECONDITION: Code = Code(9);
    /// The request is outside the valid range.
    pub const OUT_OF_RANGE: Code = Code(11);
    /// The store does not implement the call.
    pub const UNIMPLEMENTED: Code = Code(12);
    /// The store has no leader, or did not answer in time.
    pub const UNAVAILABLE: Code = Code(14);
    /// The caller is not authenticated.
    pub const UNAUTHENTICATED: Code = Code(16);
}

/// Message of the error for a call that the store refuses, without any effect, because there
/// are too many calls.
pub const TOO_MANY_REQUESTS: &str = "etcdserver: too many requests";

/// Message of the error for a lease that does not exist, or no longer exists.
pub const LEASE_NOT_FOUND: &str = "etcdserver: requested lease not found";

/// Body of an error answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// Status code.
    pub code: Code,
    /// Error message.
    pub message: String,
    /// The same error message, in the field that older versions of the gateway use.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub error: String,
}

/// Error message that ends a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamError {
    /// Status code. Older versions of the gateway name the field `grpc_code`; the name `code`
    /// is accepted too.
    #[serde(alias = "code")]
    pub grpc_code: Code,
    /// Error message.
    pub message: String,
}
