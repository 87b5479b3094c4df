//! Bounds on the memory of receipts.

use std::time::Duration;

/// Bounds on the memory of receipts.
///
/// A receipt is never forgotten before its retention is over. When there is
/// no room, further keyed work is refused as *not run*: the bounds must carry
/// the keyed requests of one retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiptLimits {
    /// Most receipts.
    pub max_receipts: usize,
    /// Most memory for receipts and answers, in bytes.
    pub max_bytes: usize,
    /// Longest answer that is kept, in bytes. Repeats of a longer one are
    /// answered as *unknown*.
    pub answer_bytes: usize,
    /// Time for which a receipt is kept after its end.
    pub retention: Duration,
    /// Longest time from a request's receipt to its deadline.
    pub run_time: Duration,
}

impl ReceiptLimits {
    /// Returns how long a receipt can matter after a member that held it was
    /// lost: a call that ran at that moment ends by its deadline, and its
    /// retention begins then.
    pub fn gap_duration(&self) -> Duration {
        self.retention + self.run_time
    }
}

impl Default for ReceiptLimits {
    fn default() -> ReceiptLimits {
        ReceiptLimits {
            max_receipts: 100_000,
            max_bytes: 48 * 1024 * 1024,
            answer_bytes: 64 * 1024,
            retention: Duration::from_secs(10 * 60),
            run_time: Duration::from_secs(60),
        }
    }
}
