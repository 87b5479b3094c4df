//! Processors, memory and accelerators.

use derive_more::{Add, Sum};
use serde::{Deserialize, Serialize};

/// What a worker has, or what tasks take of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Add, Sum)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Capacity {
    /// Whether this is no more than `other` in any part.
    pub fn fits(&self, other: &Capacity) -> bool {
        self.cores <= other.cores
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Whether the memory alone is no more than that of `other`.
    pub fn fits_memory(&self, other: &Capacity) -> bool {
        self.memory <= other.memory
    }

    /// Subtracts part by part, and stops at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Capacity) -> Capacity {
        Capacity {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
