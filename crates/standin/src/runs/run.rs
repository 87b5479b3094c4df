//! One run.

use vg_base::prelude::*;

/// One run of a request or task at a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id of the request, or of the job.
    pub request: SmolStr,
    /// Team that it counts against.
    pub team: SmolStr,
    /// Where it ran.
    pub host: HostId,
    /// When it began.
    pub start: Instant,
    /// When it ended, if it has.
    pub end: Option<Instant>,
}
