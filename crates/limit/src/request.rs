//! Messages by which a member asks a peer for permits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::TransferCounters;

/// Asks a peer to send idle permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The member that sends the request.
    #[serde(rename = "f")]
    pub from: Member,
    /// The member that receives the request.
    #[serde(rename = "t")]
    pub to: Member,
    /// Permits wanted by team.
    #[serde(rename = "w")]
    pub wanted: BTreeMap<TeamId, Permits>,
}

/// Answers a [`PermitRequest`], also if no permits could be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The member that received the request.
    #[serde(rename = "f")]
    pub from: Member,
    /// The member that sent the request.
    #[serde(rename = "t")]
    pub to: Member,
    /// Transfer counters that include the permits sent with this reply.
    #[serde(rename = "x")]
    pub transfers: TransferCounters,
}
