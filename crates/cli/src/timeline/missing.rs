//! Gaps in a timeline.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Serialize;
use smol_str::SmolStr;
use vg_events::Window;

use crate::node::{NodeAnswer, Status};

/// Something that is missing in the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum Missing {
    /// A process that gave no events.
    #[display("no events of {process}: {reason}")]
    Process {
        /// Name or address of the process.
        process: String,
        /// Why the events are missing.
        reason: String,
    },
    /// Events that a process has dropped from memory.
    #[display("events {from} to {to} of {process}: dropped to stay within memory")]
    Span {
        /// Name of the process.
        process: SmolStr,
        /// Serial number of the first missing event.
        from: u64,
        /// Serial number of the last missing event.
        to: u64,
    },
}

impl Missing {
    /// Makes the entry for a process that gave no events.
    pub(crate) fn process(process: impl Into<String>, reason: impl Into<String>) -> Missing {
        Missing::Process { process: process.into(), reason: reason.into() }
    }
}

/// Returns the spans of events that are missing before and between the events of a
/// window.
pub(crate) fn missing_spans(window: &Window) -> Vec<Missing> {
    let mut missing = Vec::new();
    let mut next = 0;
    for event in &window.events {
        if event.serial > next {
            let process = window.source.clone();
            missing.push(Missing::Span { process, from: next, to: event.serial - 1 });
        }
        next = event.serial.saturating_add(1);
    }
    if window.events.is_empty() && window.dropped > 0 {
        let process = window.source.clone();
        missing.push(Missing::Span { process, from: 0, to: window.dropped - 1 });
    }
    missing
}

/// Returns the live entry hosts that other entry hosts know but that gave no events.
pub(crate) fn missing_nodes(windows: &[Window], statuses: &[NodeAnswer<Status>]) -> Vec<Missing> {
    let node = |window: &'_ Window| window.source.split('/').next().map(SmolStr::from);
    let present: BTreeSet<SmolStr> = windows.iter().filter_map(node).collect();
    let answers = statuses.iter().filter_map(|answer| answer.answer.as_ref().ok());
    let live =
        answers.flat_map(|status| status.live()).map(|member| SmolStr::from(member.node.as_str()));
    let unknown: BTreeSet<SmolStr> = live.filter(|name| !present.contains(name)).collect();
    let reason = "this live entry host gave no events";
    unknown.iter().map(|name| Missing::process(name.as_str(), reason)).collect()
}
