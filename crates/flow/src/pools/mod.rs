//! Machines: how many each pool needs, moves between pools, maintenance waves and drains of
//! availability zones.

pub(crate) mod demand;
pub(crate) mod evict;
pub(crate) mod machines;
pub(crate) mod maintain;
pub(crate) mod resize;
pub(crate) mod wave_choice;
pub(crate) mod wave_limit;
pub(crate) mod zone_drain;
pub(crate) mod zone_exit;
