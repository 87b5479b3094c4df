//! Types that nearly every module needs. Import them by
//! `use vg_base::prelude::*;`.

pub use std::time::{Duration, Instant, SystemTime};

pub use smol_str::SmolStr;

pub use crate::{
    Clock, DualInstant, Epoch, HostId, Incarnation, JobId, Member, NodeId, Outcome, Permits,
    PlanId, PoolId, QueueId, RackId, RegionId, RequestId, Revision, Share, Slots, TeamId, ZoneId,
};
