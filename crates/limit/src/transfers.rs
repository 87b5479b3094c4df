//! Counters of the units that one member has sent to another.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Cumulative counters of one direction of one pair of members.
///
/// Holds every counter that changed after the version that the receiver has
/// acknowledged, so that any later message makes up for a lost one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferCounters {
    /// Version of the sender's counters.
    #[serde(rename = "v", default)]
    pub version: u64,
    /// Latest version that the sender has received of the other direction.
    #[serde(rename = "k", default)]
    pub seen: u64,
    /// Units sent by team since both members started.
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub sent: BTreeMap<TeamId, u64>,
}
