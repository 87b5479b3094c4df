//! How far a revision is rolled out to the entry hosts.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use vg_base::prelude::*;

use crate::node::{NodeAnswer, Status};

/// A live entry host that is not known to have a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct LaggingNode {
    /// Name of the entry host.
    pub(crate) node: SmolStr,
    /// Why the entry host is not known to have the revision.
    pub(crate) reason: String,
}

/// How many live entry hosts have a revision, and which ones do not.
///
/// An entry host counts as live if it answers, or if an entry host that answers
/// does not report its lease as expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Progress {
    /// The revision.
    pub(crate) revision: Revision,
    /// Number of live entry hosts.
    pub(crate) live: usize,
    /// Number of live entry hosts that have the revision or a later one.
    pub(crate) have: usize,
    /// Whether a majority has the revision, so that in an outage of the store no
    /// other entry host can keep serving without it.
    pub(crate) accepted: bool,
    /// Live entry hosts that are not known to have the revision.
    pub(crate) waiting: Vec<LaggingNode>,
}

impl Progress {
    /// Evaluates the answers of the entry hosts.
    pub(crate) fn new(revision: Revision, answers: &[NodeAnswer<Status>]) -> Progress {
        let mut answered: BTreeMap<&str, &Status> = BTreeMap::new();
        for status in answers.iter().filter_map(|answer| answer.answer.as_ref().ok()) {
            answered.insert(status.node.as_str(), status);
        }
        let named = answered.values().flat_map(|status| status.live());
        let named = named.map(|member| member.node.as_str());
        let live: BTreeSet<&str> = answered.keys().copied().chain(named).collect();
        let check = |node: &&str| lagging_node(node, answered.get(node).copied(), revision);
        let waiting: Vec<LaggingNode> = live.iter().filter_map(check).collect();
        let have = live.len() - waiting.len();
        let reported = answered.values().any(|each| each.revision >= revision && each.accepted);
        let accepted = reported || 2 * have > live.len();
        Progress { revision, live: live.len(), have, accepted, waiting }
    }

    /// Returns whether there is a live entry host and every one has the revision.
    pub(crate) fn is_in_force(&self) -> bool {
        self.live > 0 && self.waiting.is_empty()
    }
}

fn lagging_node(node: &str, status: Option<&Status>, revision: Revision) -> Option<LaggingNode> {
    let reason = match status {
        Some(status) if status.revision >= revision => return None,
        Some(status) => format!("has revision {}", status.revision),
        None => "gave no answer".to_owned(),
    };
    Some(LaggingNode { node: node.into(), reason })
}
