//! Counters of the permits that one member has sent to another.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Cumulative counters of the permits sent from one member to another.
///
/// The message has every counter that changed after the version that the
/// receiver has confirmed, so that any later message replaces a lost one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferCounters {
    /// Version of the sender's counters.
    #[serde(rename = "v", default)]
    pub version: u64,
    /// Latest version of the receiver's own counters that the sender has received.
    #[serde(rename = "k", default)]
    pub acknowledged: u64,
    /// Permits sent by team since both members started.
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub sent: BTreeMap<TeamId, u64>,
}
