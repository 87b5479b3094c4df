//! Amounts of processor time, memory and accelerators.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

macro_rules! amounts {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            Display, FromStr, From, Into,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}

amounts! {
    /// Processor time in thousandths of a core.
    Cores(u32);
    /// Memory in bytes.
    Memory(u64);
    /// Whole accelerators.
    Accelerators(u16);
}

/// Resources that a job needs or that a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time.
    pub cores: Cores,
    /// Memory.
    pub memory: Memory,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Resources = Resources::new(0, 0, 0);

    /// Creates an amount from thousandths of a core, bytes and whole accelerators.
    pub const fn new(millis: u32, bytes: u64, accelerators: u16) -> Resources {
        Resources {
            cores: Cores(millis),
            memory: Memory(bytes),
            accelerators: Accelerators(accelerators),
        }
    }

    /// Whether the amount of each resource is at most that in `available`.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cores <= available.cores
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// Adds the amounts of each resource, saturating at the maximum.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources::new(
            self.cores.0.saturating_add(other.cores.0),
            self.memory.0.saturating_add(other.memory.0),
            self.accelerators.0.saturating_add(other.accelerators.0),
        )
    }

    /// Subtracts the amounts of each resource, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources::new(
            self.cores.0.saturating_sub(other.cores.0),
            self.memory.0.saturating_sub(other.memory.0),
            self.accelerators.0.saturating_sub(other.accelerators.0),
        )
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smallest fraction of `whole` that this amount is, over the resources
    /// that `whole` has; at most 1.
    pub fn scarcest_share(&self, whole: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 1.0 };
        let cores = part(f64::from(self.cores.0), f64::from(whole.cores.0));
        let memory = part(self.memory.0 as f64, whole.memory.0 as f64);
        let accelerators = part(f64::from(self.accelerators.0), f64::from(whole.accelerators.0));
        cores.min(memory).min(accelerators).min(1.0)
    }

    /// Returns the largest fraction of `whole` that this amount takes, over the
    /// resources that `whole` has.
    pub fn dominant_share(&self, whole: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let cores = part(f64::from(self.cores.0), f64::from(whole.cores.0));
        let memory = part(self.memory.0 as f64, whole.memory.0 as f64);
        let accelerators = part(f64::from(self.accelerators.0), f64::from(whole.accelerators.0));
        cores.max(memory).max(accelerators)
    }
}
