//! Contended pools: what each team may use, which jobs can't be done in time, and what other
//! hosts are told of it.

pub(crate) mod admission;
pub(crate) mod advice_load;
pub(crate) mod contention;
pub(crate) mod fair_share;
pub(crate) mod load;
pub(crate) mod load_digest;
pub(crate) mod past_usage;
pub(crate) mod pool_measure;
pub(crate) mod retry_slots;
pub(crate) mod share_changes;
pub(crate) mod teams;
