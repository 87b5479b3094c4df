//! One run.

use vg_base::prelude::*;

/// Whose run it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunLabel {
    /// Id that the entry host gave the request, or id of the job.
    pub request: SmolStr,
    /// The caller's own id of the work, the same for each try.
    pub key: Option<SmolStr>,
    /// Team that it counts against.
    pub team: SmolStr,
}

/// One run of a request or task at a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Whose run it is.
    pub label: RunLabel,
    /// Where it ran.
    pub host: HostId,
    /// When it began.
    pub start: Instant,
    /// When it ended, if it has.
    pub end: Option<Instant>,
}
