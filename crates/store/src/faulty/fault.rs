//! What can go wrong with one call.

use std::time::Duration;

/// A fault of one call.
///
/// A lost answer of a read is told as [`Error::Unavailable`], since a read has
/// no effect that could be in doubt.
///
/// [`Error::Unavailable`]: crate::Error::Unavailable
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store is not reached.
    Unavailable,
    /// The store refuses the call as one too many.
    Throttled,
    /// The call is lost on its way; nobody can tell.
    RequestLost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The answer counts as lost, and the call takes effect after this time.
    DelayedEffect(Duration),
    /// The call's lease lapses just before it; other calls are not affected.
    LeaseExpired,
}
