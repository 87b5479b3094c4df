//! The decision whether a request may run.

use std::sync::Arc;
use std::time::Duration;

use super::{Answer, ReceiptKey};

/// The decision whether a request may run, and what to answer if it may not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The request may run. The caller must finish its receipt in every case.
    Run(ReceiptKey),
    /// The request has already run, with this answer.
    Replay(Arc<Answer>),
    /// Another attempt of the key is running. This attempt is not run.
    InProgress,
    /// This same attempt has arrived before, and its first arrival was or will be
    /// answered. A second answer could contradict the first, so the caller should
    /// send none, or *unknown* if it must send one. It must not send *not run*,
    /// because the attempt may be running and the entry host that forwarded it
    /// would remove its copy of the receipt.
    DuplicateAttempt,
    /// The deadline has passed. The request is not run.
    DeadlinePassed,
    /// The key was used for a request with another fingerprint.
    RequestMismatch,
    /// The request may have run before, and no answer is known.
    Unknown,
    /// The table is full, so the request is not run.
    NoCapacity {
        /// Time after which the next receipt expires, at least one second.
        retry_after: Duration,
    },
}
