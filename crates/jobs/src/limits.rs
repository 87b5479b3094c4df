//! Bounds and periods of a shard.

use vg_base::prelude::*;

/// Bounds and periods of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest wait of a staged change for its batch.
    pub batch_wait: Duration,
    /// Shortest time between two batches: what the store's budget allows.
    pub batch_gap: Duration,
    /// Segments that the log may have whatever it holds.
    pub segments: usize,
    /// Staged bytes at which submissions are refused.
    pub staged_bytes: usize,
    /// Open jobs at which submissions are refused.
    pub open_jobs: usize,
    /// How long a worker's word holds. Longer than it takes a lost owner's pool
    /// to find its next one, or each such change would stop all tasks.
    pub worker_lease: Duration,
    /// Time after the lease in which a worker has surely stopped its tasks.
    pub lease_margin: Duration,
    /// How long after its placement an attempt may be started. Shorter than the
    /// lease, so that no start is valid after a lapse; longer than a batch.
    pub start_life: Duration,
    /// Wait for a worker's word on a start before it is asked.
    pub start_wait: Duration,
    /// How long a worker gets nothing after it had no room for a task.
    pub crowded_wait: Duration,
    /// Wait for any word on a running attempt before its worker is asked.
    pub word_wait: Duration,
    /// Wait for a checkpoint before a job is stopped without one.
    pub checkpoint_wait: Duration,
    /// How long finished jobs are kept for questions.
    pub retention: Duration,
    /// How long a job that fits no host waits before it is called `cannot-run`.
    pub misfit_wait: Duration,
    /// Failed attempts after which a job has failed for good.
    pub attempts: u8,
    /// Failures in a row after which a worker gets one idempotent job at a time.
    pub suspect_failures: usize,
    /// Failures in a row, of unlike jobs, that quarantine a worker.
    pub quarantine_failures: usize,
    /// Usage older than this is not acted upon.
    pub usage_age: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            batch_wait: Duration::from_millis(50),
            batch_gap: Duration::from_millis(250),
            segments: 32,
            staged_bytes: 1024 * 1024,
            open_jobs: 200_000,
            worker_lease: Duration::from_secs(20),
            lease_margin: Duration::from_secs(2),
            start_life: Duration::from_secs(5),
            start_wait: Duration::from_secs(1),
            crowded_wait: Duration::from_secs(1),
            word_wait: Duration::from_secs(30),
            checkpoint_wait: Duration::from_secs(1),
            retention: Duration::from_secs(3600),
            misfit_wait: Duration::from_secs(600),
            attempts: 3,
            suspect_failures: 2,
            quarantine_failures: 3,
            usage_age: Duration::from_secs(30),
        }
    }
}
