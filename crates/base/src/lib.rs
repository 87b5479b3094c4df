//! Basic types of the workspace: ids, counters, the clock, request outcomes and
//! a prelude.
//!
//! This crate does no I/O. Of the workspace, crates that hold decision logic depend
//! only on this crate, `vg-conf`, `vg-events` and each other, so they can be read
//! and tested without sockets.

mod clock;
mod dual_instant;
mod id;
mod member;
mod number;
mod outcome;
pub mod prelude;

pub use clock::{Clock, ManualClock, SystemClock};
pub use dual_instant::DualInstant;
pub use id::{
    HostId, IdError, JobId, NodeId, PlanId, PoolId, QueueId, RackId, RegionId, RequestId, TeamId,
    ZoneId,
};
pub use member::Member;
pub use number::{Epoch, Incarnation, Permits, Revision, Share, Slots};
pub use outcome::{Outcome, OutcomeError};
