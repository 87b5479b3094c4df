//! Bounds and periods of a shard.

use vg_base::prelude::*;

/// Bounds and periods of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest wait of a staged change for its batch.
    pub batch_delay: Duration,
    /// Shortest time between two batches: what the store's budget allows.
    pub batch_interval: Duration,
    /// Segments that the log may have whatever it holds.
    pub base_segments: usize,
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
    pub start_validity: Duration,
    /// Wait for a worker's word on a start before it is asked.
    pub start_timeout: Duration,
    /// How long a worker gets nothing after it had no room for a task.
    pub capacity_backoff: Duration,
    /// Wait for any word on a running attempt before its worker is asked.
    pub report_timeout: Duration,
    /// Wait for a checkpoint before a job is stopped without one.
    pub checkpoint_timeout: Duration,
    /// How long finished jobs are kept for questions.
    pub retention: Duration,
    /// How long a job that fits no host waits before it is called `cannot-run`.
    pub unplaceable_delay: Duration,
    /// Failed attempts after which a job has failed for good.
    pub max_attempts: u8,
    /// Failures in a row after which a worker gets one idempotent job at a time.
    pub probation_failures: usize,
    /// Failures in a row, of unlike jobs, that quarantine a worker.
    pub quarantine_failures: usize,
    /// Usage older than this is not acted upon.
    pub usage_ttl: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            batch_delay: Duration::from_millis(50),
            batch_interval: Duration::from_millis(250),
            base_segments: 32,
            staged_bytes: 1024 * 1024,
            open_jobs: 200_000,
            worker_lease: Duration::from_secs(20),
            lease_margin: Duration::from_secs(2),
            start_validity: Duration::from_secs(5),
            start_timeout: Duration::from_secs(1),
            capacity_backoff: Duration::from_secs(1),
            report_timeout: Duration::from_secs(30),
            checkpoint_timeout: Duration::from_secs(1),
            retention: Duration::from_secs(3600),
            unplaceable_delay: Duration::from_secs(600),
            max_attempts: 3,
            probation_failures: 2,
            quarantine_failures: 3,
            usage_ttl: Duration::from_secs(30),
        }
    }
}
