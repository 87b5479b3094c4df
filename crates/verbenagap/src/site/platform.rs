//! The platform implementation of entry hosts that run inside a site's process.

use vg_base::SystemClock;
use vg_entry::Platform;
use vg_store::{FaultyStore, MemStore};

/// An in-memory store with fault injection, and the clock of the operating system.
#[derive(Debug, Clone)]
pub struct InProcessPlatform;

impl Platform for InProcessPlatform {
    type Store = FaultyStore<MemStore<SystemClock>>;
    type Clock = SystemClock;
}
