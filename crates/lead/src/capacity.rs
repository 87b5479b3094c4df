//! What a host can carry, by which a leader is chosen.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Processor and link of a host, as its settings state them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{millicores} millicores, {link_mbps} Mbit/s")]
pub struct HostCapacity {
    /// Processor in thousandths of a core; zero if it is not known.
    #[serde(rename = "cpu")]
    pub millicores: u32,
    /// Bandwidth of the link in Mbit/s; zero if it is not known.
    #[serde(rename = "link")]
    pub link_mbps: u32,
}

/// Factor between two hosts' processors from which the larger one leads.
const LARGER_FACTOR: f64 = 1.5;

impl HostCapacity {
    /// Whether a host of this capacity carries clearly more than one of capacity
    /// `other`. False if a processor is not known.
    pub(crate) fn exceeds(&self, other: &HostCapacity) -> bool {
        other.millicores > 0
            && f64::from(self.millicores) >= f64::from(other.millicores) * LARGER_FACTOR
            && self.link_mbps >= other.link_mbps
    }
}
