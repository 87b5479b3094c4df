//! The instances of one pool, and the choice of the instance for each call.

mod busy;
mod change;
mod health;
mod info;
mod instance;
mod result;
mod slot;
mod stats;
mod table;

pub use busy::BusySlots;
pub use change::{EndpointChange, ListUpdate};
pub use health::Health;
pub use info::{EndpointInfo, ListRevision};
pub use result::CallResult;
pub use slot::{EndpointKey, ProbePolicy, Slot, SlotKey};
pub use stats::EndpointStats;
pub use table::Endpoints;
