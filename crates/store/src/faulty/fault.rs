//! Faults of one store call.

use std::time::Duration;

/// A fault of one call.
///
/// A read whose answer is lost returns [`Error::Unavailable`], since a read has no effect
/// that could be unknown.
///
/// [`Error::Unavailable`]: crate::Error::Unavailable
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store is not reached. The call has no effect.
    Unavailable,
    /// The store refuses the call because of a rate limit. The call has no effect.
    Throttled,
    /// The request is lost. The call has no effect, but the caller can't know it.
    RequestLost,
    /// The call takes effect, and the answer is lost.
    AnswerLost,
    /// The answer is reported as lost at once, and the call takes effect after this delay.
    DelayedEffect(Duration),
    /// The lease expires immediately before it is renewed. Other calls are not affected.
    LeaseExpired,
}
