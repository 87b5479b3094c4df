//! A small simulated fleet for the scheduler: workers that keep the platform's
//! contract, a store, and messages that are lost or arrive late.

pub(crate) mod adviser;
pub(crate) mod crash;
pub(crate) mod faults;
mod inbox;
mod machine_service;
mod machines;
mod messages;
mod oracle;
pub(crate) mod recuts;
pub(crate) mod replay;
pub(crate) mod spec;
mod swaps;
pub(crate) mod versions;
pub(crate) mod waits;
pub(crate) mod world;
