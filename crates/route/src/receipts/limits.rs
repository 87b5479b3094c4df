//! Limits of the receipt table.

use std::time::Duration;

/// Limits of the receipt table.
///
/// A receipt is never removed before its retention ends. When the table is full,
/// further requests with idempotency keys are refused as *not run*, so the limits
/// must be large enough for all such requests of one retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiptLimits {
    /// Largest number of receipts.
    pub max_receipts: usize,
    /// Memory for receipts and answers, in bytes.
    pub max_bytes: usize,
    /// Largest answer that is kept, in bytes. After a larger one, repeated
    /// requests are answered as *unknown*.
    pub max_answer_bytes: usize,
    /// Time for which a receipt is kept after its run has ended.
    pub retention: Duration,
    /// Longest time from the arrival of a request to its deadline.
    pub max_run_time: Duration,
}

impl ReceiptLimits {
    /// Returns how long a receipt can matter after a member that held it was lost:
    /// a call that was running at that time ends by its deadline, and only then
    /// its retention begins.
    pub fn gap_duration(&self) -> Duration {
        self.retention + self.max_run_time
    }
}

impl Default for ReceiptLimits {
    fn default() -> ReceiptLimits {
        ReceiptLimits {
            max_receipts: 100_000,
            max_bytes: 48 * 1024 * 1024,
            max_answer_bytes: 64 * 1024,
            retention: Duration::from_secs(10 * 60),
            max_run_time: Duration::from_secs(60),
        }
    }
}
