//! How far a revision has come.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use vg_base::prelude::*;

use crate::node::{Status, View};

/// An entry host that is not known to have a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Waiting {
    /// The entry host.
    pub(crate) node: SmolStr,
    /// Why it is waited for.
    pub(crate) reason: String,
}

/// Which live entry hosts have a revision.
///
/// An entry host is live as long as any answering one holds its lease to be in
/// force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Progress {
    /// The revision.
    pub(crate) revision: Revision,
    /// Live entry hosts.
    pub(crate) live: usize,
    /// Live entry hosts that have it, or a later one.
    pub(crate) have: usize,
    /// Whether a majority has it, so that none of the rest can go on without it
    /// in an outage of the store.
    pub(crate) accepted: bool,
    /// The others.
    pub(crate) waiting: Vec<Waiting>,
}

impl Progress {
    /// Judges the answers of entry hosts.
    pub(crate) fn new(revision: Revision, views: &[View<Status>]) -> Progress {
        let mut answered: BTreeMap<&str, &Status> = BTreeMap::new();
        for status in views.iter().filter_map(|view| view.answer.as_ref().ok()) {
            answered.insert(status.node.as_str(), status);
        }
        let named = answered.values().flat_map(|status| status.live());
        let named = named.map(|member| member.node.as_str());
        let live: BTreeSet<&str> = answered.keys().copied().chain(named).collect();
        let waits = |node: &&str| waiting(node, answered.get(node).copied(), revision);
        let waiting: Vec<Waiting> = live.iter().filter_map(waits).collect();
        let have = live.len() - waiting.len();
        let told = answered.values().any(|each| each.revision >= revision && each.accepted);
        let accepted = told || 2 * have > live.len();
        Progress { revision, live: live.len(), have, accepted, waiting }
    }

    /// Whether every live entry host has the revision.
    pub(crate) fn is_in_force(&self) -> bool {
        self.live > 0 && self.waiting.is_empty()
    }
}

fn waiting(node: &str, status: Option<&Status>, revision: Revision) -> Option<Waiting> {
    let reason = match status {
        Some(status) if status.revision >= revision => return None,
        Some(status) => format!("has revision {}", status.revision),
        None => "gave no answer".to_owned(),
    };
    Some(Waiting { node: node.into(), reason })
}
