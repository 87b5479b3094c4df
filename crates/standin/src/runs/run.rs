//! One run: the execution of a request on an endpoint or of a task on a worker.

use vg_base::prelude::*;

/// The request, the key and the team of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunLabel {
    /// Id that the entry host assigned to the request, or the id of the job.
    pub request: SmolStr,
    /// The caller's own key of the work, which is the same for each retry.
    pub key: Option<SmolStr>,
    /// Team whose limit the run counts towards.
    pub team: SmolStr,
}

/// One run of a request or a task on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request, the key and the team of the run.
    pub label: RunLabel,
    /// Host that executes the run.
    pub host: HostId,
    /// Start of the run.
    pub start: Instant,
    /// End of the run, or `None` while it is active.
    pub end: Option<Instant>,
}
