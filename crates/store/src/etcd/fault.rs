//! Which error an unwanted answer or a broken connection stands for.

use crate::Error;
use crate::etcd::wire::{Code, ErrorBody, LEASE_NOT_FOUND, TOO_MANY_REQUESTS};

/// What a call can do to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing; a call without an answer is as good as not made.
    Reads,
    /// It may write; a call without an answer is in doubt.
    Writes,
}

impl Effect {
    /// Returns the error of a call that was sent and has no usable answer.
    pub(crate) fn unanswered(self, reason: String) -> Error {
        match self {
            Effect::Reads => Error::Unavailable { reason },
            Effect::Writes => Error::AnswerLost { reason },
        }
    }
}

/// Returns the error that a status code stands for.
///
/// Only codes that the store gives before it proposes a write prove that there
/// was no effect. An exhausted quota does not: the write that reaches it takes
/// effect and is answered with this error all the same. Neither does
/// `unavailable`, which also tells of a proposal that timed out.
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

/// Returns the error that a whole answer without success stands for.
pub(crate) fn classify_body(status: u16, body: &[u8], effect: Effect) -> Error {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) if error.code != Code::default() => {
            let message = if error.message.is_empty() { &error.error } else { &error.message };
            classify(error.code, message, effect)
        }
        // No answer of the service itself, but perhaps of something before it.
        _ => effect.unanswered(format!("HTTP status {status}")),
    }
}
