//! Jobs as known to the leader: what callers submitted, their occurrences, steps, tasks and
//! attempts, what is durable of them, and what is left of them.

pub(crate) mod attempt;
pub(crate) mod checkpoint;
pub(crate) mod crash_mark;
pub(crate) mod crash_series;
pub(crate) mod crashes;
pub(crate) mod gangs;
pub(crate) mod intake;
pub(crate) mod job;
pub(crate) mod job_pools;
pub(crate) mod job_size;
pub(crate) mod occurrence;
pub(crate) mod progress;
pub(crate) mod queue_work;
pub(crate) mod remaining;
pub(crate) mod spec;
pub(crate) mod trials;
