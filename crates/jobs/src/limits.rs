//! Limits and periods of a shard.

use vg_base::prelude::*;

/// Limits and periods of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest time that a staged change waits for its batch.
    pub batch_delay: Duration,
    /// Shortest time between two batches, as the store's budget of calls allows.
    pub batch_interval: Duration,
    /// Number of segments that the log may have regardless of how much it holds.
    pub base_segments: usize,
    /// Number of staged bytes at which submissions are rejected and placement
    /// stops.
    pub max_staged_bytes: usize,
    /// Number of open jobs at which submissions are rejected.
    pub max_open_jobs: usize,
    /// Length of a worker's lease. It must be longer than the time that the pool of
    /// a lost owner needs to get its next owner; otherwise each takeover would stop
    /// all tasks.
    pub worker_lease: Duration,
    /// Time after the end of a lease by which the worker is certain to have stopped
    /// its tasks.
    pub lease_margin: Duration,
    /// Time after its placement during which an attempt may be started. It must be
    /// shorter than the lease, so that no start is valid after the lease has
    /// expired, and longer than the commit of a batch.
    pub start_validity: Duration,
    /// Time without an answer to a start after which the worker is queried. It is also
    /// the time between the messages that stop a cancelled attempt.
    pub start_timeout: Duration,
    /// Time for which a worker gets no jobs after it had insufficient capacity for
    /// a task.
    pub capacity_backoff: Duration,
    /// Time without any message about a running attempt after which the worker is
    /// queried.
    pub report_timeout: Duration,
    /// Time that an attempt has to write a checkpoint before it is stopped without
    /// one.
    pub checkpoint_timeout: Duration,
    /// Time for which finished jobs are kept, so that callers can query them.
    pub retention: Duration,
    /// Time that a job which fits no host waits before its state becomes
    /// `cannot-run`.
    pub unplaceable_delay: Duration,
    /// Number of failed attempts after which a job has failed for good. An idempotent
    /// job whose attempts are lost with their workers fails after twice this number.
    pub max_attempts: u8,
    /// Number of failures in a row after which a worker gets only idempotent jobs,
    /// one at a time.
    pub probation_failures: usize,
    /// Number of failures in a row, of jobs from at least two lanes, that
    /// quarantine a worker.
    pub quarantine_failures: usize,
    /// Age above which measured usage is ignored.
    pub usage_ttl: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            batch_delay: Duration::from_millis(50),
            batch_interval: Duration::from_millis(250),
            base_segments: 32,
            max_staged_bytes: 1024 * 1024,
            max_open_jobs: 200_000,
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
