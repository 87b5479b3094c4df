//! Classification of error answers and broken connections: whether the call may have taken
//! effect.

use crate::Error;
use crate::etcd::wire::{Code, ErrorBody, LEASE_NOT_FOUND, TOO_MANY_REQUESTS};

/// Whether a call can change the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The call only reads, so a call without an answer had no effect.
    ReadOnly,
    /// The call may write, so a call without an answer may have taken effect.
    MayWrite,
}

impl Effect {
    /// Returns the error for a call that was sent and got no usable answer.
    pub(crate) fn unanswered(self, reason: String) -> Error {
        match self {
            Effect::ReadOnly => Error::Unavailable { reason },
            Effect::MayWrite => Error::AnswerLost { reason },
        }
    }
}

/// Returns the error for a status code.
///
/// Only codes that the store returns before it proposes a write prove that the call had no
/// effect. An exhausted quota doesn't: the write that reaches the quota takes effect, and is
/// still answered with this error. `unavailable` doesn't either, since the store also
/// returns it for a proposal that timed out and may still be applied.
pub(crate) fn classify(code: Code, message: &str, effect: Effect) -> Error {
    let reason = message.to_owned();
    match code {
        Code::NOT_FOUND if message == LEASE_NOT_FOUND => Error::LeaseExpired,
        Code::RESOURCE_EXHAUSTED if message == TOO_MANY_REQUESTS => Error::Unavailable { reason },
        Code::INVALID_ARGUMENT
        | Code::NOT_FOUND
        | Code::PERMISSION_DENIED
        | Code::FAILED_PRECONDITION
        | Code::OUT_OF_RANGE
        | Code::UNIMPLEMENTED
        | Code::UNAUTHENTICATED => Error::Refused { reason },
        _ => effect.unanswered(format!("status code {}: {reason}", code.0)),
    }
}

/// Returns the error for a complete answer whose HTTP status is not a success.
pub(crate) fn classify_body(status: u16, body: &[u8], effect: Effect) -> Error {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) if error.code != Code::default() => {
            let message = if error.message.is_empty() { &error.error } else { &error.message };
            classify(error.code, message, effect)
        }
        // This is not an answer of the service, but perhaps of a proxy in front of it.
        _ => effect.unanswered(format!("HTTP status {status}")),
    }
}
