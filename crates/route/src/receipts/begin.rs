//! Whether a request may run.

use std::sync::Arc;
use std::time::Duration;

use super::{Answer, ReceiptKey};

/// Whether a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// It may, and this is its receipt, to be finished in any case.
    Run(ReceiptKey),
    /// It ran before: this is its answer.
    Replay(Arc<Answer>),
    /// Its key runs now under another attempt. This attempt is not run.
    InProgress,
    /// This very attempt came before. Whatever became of it was or will be
    /// told: a second answer could contradict it, so none must be sent, or if
    /// one must, then *unknown*. It is never *not run*: the attempt may be
    /// running, and its ingress would give its copy of the receipt up.
    DuplicateAttempt,
    /// Its deadline has passed: it is not run.
    DeadlinePassed,
    /// The key was used for another request.
    RequestMismatch,
    /// It may have run before.
    Unknown,
    /// There is no room for its receipt: it is not run.
    NoCapacity {
        /// When the oldest receipt is forgotten.
        retry_after: Duration,
    },
}
