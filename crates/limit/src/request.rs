//! Asking a peer for units.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::TransferCounters;

/// Asks a peer to hand over idle units.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The member that asks.
    #[serde(rename = "f")]
    pub from: Member,
    /// The member that is asked.
    #[serde(rename = "t")]
    pub to: Member,
    /// Units wanted by team.
    #[serde(rename = "w")]
    pub wanted: BTreeMap<TeamId, Units>,
}

/// Answers a [`PermitRequest`], also if nothing could be handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The member that was asked.
    #[serde(rename = "f")]
    pub from: Member,
    /// The member that asked.
    #[serde(rename = "t")]
    pub to: Member,
    /// Counters that include what is handed over.
    #[serde(rename = "x")]
    pub transfers: TransferCounters,
}
