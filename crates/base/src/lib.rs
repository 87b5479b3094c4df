//! Ids, sizes, rates, the clock and the prelude that every other crate uses.
//!
//! Nothing here does I/O. Decision crates depend on this crate alone (and on
//! `vg-conf` and `vg-events`), so they can be read and tested without a socket.

mod clock;
mod id;
mod member;
mod number;
mod outcome;
pub mod prelude;

pub use clock::{Clock, ManualClock, SystemClock};
pub use id::{
    HostId, IdError, JobId, NodeId, PlanId, PoolId, QueueId, RackId, RegionId, RequestId, TeamId,
    ZoneId,
};
pub use member::Member;
pub use number::{Epoch, Incarnation, Permits, Revision, Share, Slots};
pub use outcome::{Outcome, OutcomeError};
