//! Errors.

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A status code of gRPC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, From, Into,
)]
#[serde(transparent)]
pub struct Code(pub u32);

impl Code {
    /// The request is malformed in any state of the store.
    pub const INVALID_ARGUMENT: Code = Code(3);
    /// Something named by the request does not exist.
    pub const NOT_FOUND: Code = Code(5);
    /// The caller may not do that.
    pub const PERMISSION_DENIED: Code = Code(7);
    /// The store is over a quota or a rate.
    pub const RESOURCE_EXHAUSTED: Code = Code(8);
    /// The store's state does not allow the request.
    pub const FAILED_PRECONDITION: Code = Code(9);
    /// The request asks for something past an end.
    pub const OUT_OF_RANGE: Code = Code(11);
    /// The store does not know the call.
    pub const UNIMPLEMENTED: Code = Code(12);
    /// The store has no leader, or did not answer in time.
    pub const UNAVAILABLE: Code = Code(14);
    /// The caller is not known.
    pub const UNAUTHENTICATED: Code = Code(16);
}

/// Message of a call that the store refuses before it takes it up.
pub const TOO_MANY_REQUESTS: &str = "etcdserver: too many requests";

/// Message of a lease that does not exist (any more).
pub const LEASE_NOT_FOUND: &str = "etcdserver: requested lease not found";

/// Body of an answer that is an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// Status code.
    pub code: Code,
    /// What is wrong.
    pub message: String,
    /// The same, in older versions.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub error: String,
}

/// Error that ends a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamError {
    /// Status code, as older versions name it.
    #[serde(alias = "code")]
    pub grpc_code: Code,
    /// What is wrong.
    pub message: String,
}
