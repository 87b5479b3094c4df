//! What a time line lacks.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Serialize;
use smol_str::SmolStr;
use vg_events::Window;

use crate::node::{Status, View};

/// Something that is not in the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum Missing {
    /// A process of which nothing is known.
    #[display("nothing of {process}: {reason}")]
    Process {
        /// Its name or address.
        process: String,
        /// Why.
        reason: String,
    },
    /// Events that a process has dropped.
    #[display("events {from} to {to} of {process}: dropped to stay within memory")]
    Span {
        /// The process.
        process: SmolStr,
        /// Serial number of the first missing event.
        from: u64,
        /// Serial number of the last missing event.
        to: u64,
    },
}

impl Missing {
    /// Makes a missing process.
    pub(crate) fn process(process: impl Into<String>, reason: impl Into<String>) -> Missing {
        Missing::Process { process: process.into(), reason: reason.into() }
    }
}

/// Returns the spans that are missing before and between a window's events.
pub(crate) fn spans(window: &Window) -> Vec<Missing> {
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

/// Returns live entry hosts that others know but that gave no window.
pub(crate) fn not_asked(windows: &[Window], statuses: &[View<Status>]) -> Vec<Missing> {
    let node = |window: &'_ Window| window.source.split('/').next().map(SmolStr::from);
    let asked: BTreeSet<SmolStr> = windows.iter().filter_map(node).collect();
    let answers = statuses.iter().filter_map(|view| view.answer.as_ref().ok());
    let live =
        answers.flat_map(|status| status.live()).map(|member| SmolStr::from(member.node.as_str()));
    let unknown: BTreeSet<SmolStr> = live.filter(|name| !asked.contains(name)).collect();
    let reason = "a live entry host that gave no events";
    unknown.iter().map(|name| Missing::process(name.as_str(), reason)).collect()
}
