//! The message that members exchange periodically.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::{PermitHint, TransferCounters};

use crate::StatusReport;

/// A heartbeat or the reply to a heartbeat, which has the same content.
///
/// The serialized field names are short because heartbeats are most of the control
/// traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Member,
    /// The receiver.
    #[serde(rename = "t")]
    pub to: Member,
    /// Logical clock of the sender, which orders the events of both members.
    #[serde(rename = "h")]
    pub stamp: Stamp,
    /// Serial number of the message. It grows with each message of the sender.
    #[serde(rename = "n")]
    pub serial: u64,
    /// Latest serial number that the sender has received from the receiver.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<u64>,
    /// Status of the sender.
    #[serde(rename = "s")]
    pub report: StatusReport,
    /// Counters of transferred permits; `None` if the receiver has no open account in the
    /// cluster state.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub transfers: Option<TransferCounters>,
    /// Idle and wanted permits of some teams.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub hints: Vec<PermitHint>,
    /// Whether the sender is about to stop.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
