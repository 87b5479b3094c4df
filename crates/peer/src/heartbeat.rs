//! The message that members exchange all the time.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::{PermitHint, TransferCounters};

use crate::Statement;

/// A heartbeat, or the reply to one, which has the same content.
///
/// Field names are short on the wire: heartbeats are most of the control
/// traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member that speaks.
    #[serde(rename = "f")]
    pub from: Member,
    /// The member that is spoken to.
    #[serde(rename = "t")]
    pub to: Member,
    /// Orders events of both.
    #[serde(rename = "h")]
    pub stamp: Stamp,
    /// Position in the messages of this direction.
    #[serde(rename = "n")]
    pub serial: u64,
    /// Latest serial received of the other direction.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<u64>,
    /// What the speaker states of itself.
    #[serde(rename = "s")]
    pub statement: Statement,
    /// Counters of units; none if the book has no open account of the peer.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub transfers: Option<TransferCounters>,
    /// Idle and wanted units of some teams.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub advice: Vec<PermitHint>,
    /// Whether the speaker is about to stop.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
