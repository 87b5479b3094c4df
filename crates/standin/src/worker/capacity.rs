//! Amounts of processor cores, memory and accelerators.

use derive_more::{Add, Sum};
use serde::{Deserialize, Serialize};

/// Resources of a worker, or the part of them that tasks use or reserve.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Add, Sum)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Capacity {
    /// Returns whether each resource is at most that of `other`.
    pub fn fits(&self, other: &Capacity) -> bool {
        self.cores <= other.cores
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Returns whether the memory is at most that of `other`; other resources are not
    /// compared.
    pub fn fits_memory(&self, other: &Capacity) -> bool {
        self.memory <= other.memory
    }

    /// Subtracts each resource of `other`, with a minimum of zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Capacity) -> Capacity {
        Capacity {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
