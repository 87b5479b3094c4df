//! Sizes and totals of the leader, for metrics.

/// Table sizes and totals for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs in memory.
    pub jobs: usize,
    /// Attempts in memory.
    pub attempts: usize,
    /// Workers in memory.
    pub workers: usize,
    /// Start commands that were decided, sent or not.
    pub starts: u64,
    /// Starts refused because of insufficient capacity.
    pub no_capacity: u64,
    /// Attempts that completed their task.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts lost because their worker restarted or its lease expired.
    pub lost: u64,
    /// Workers that crashed under a task, as far as one could be blamed.
    pub crashes: u64,
    /// Tasks that were given up because workers crash under them.
    pub deadly: u64,
    /// Attempts whose start command was not answered.
    pub unresolved: u64,
    /// Start commands that may be unanswered at once.
    pub start_window: usize,
    /// Stop commands that were decided, for any reason and with repetitions.
    pub stops: u64,
}
