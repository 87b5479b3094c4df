//! The platform of a site in one process.

use vg_base::SystemClock;
use vg_entry::Platform;
use vg_store::{FaultyStore, MemStore};

/// A store in memory, which may fail, and the clock of the operating system.
#[derive(Debug, Clone)]
pub struct InProcess;

impl Platform for InProcess {
    type Store = FaultyStore<MemStore<SystemClock>>;
    type Clock = SystemClock;
}
