//! Order in which waiting jobs are given capacity.

pub(crate) mod job_group;
pub(crate) mod rank;
pub(crate) mod share_order;
pub(crate) mod team_turns;
pub(crate) mod turns;
