//! The store of the simulation: the book, leased keys and the revision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use vg_base::prelude::*;
use vg_peer::ClusterState;

/// A commit of the book.
#[derive(Debug, Clone)]
pub(crate) struct Commit {
    /// The book that it is based on.
    pub(crate) base: Epoch,
    pub(crate) cluster_state: ClusterState,
    /// Members whose leased keys must not exist.
    pub(crate) absent: Vec<Member>,
    /// Member whose leased key is put as well.
    pub(crate) put: Option<Member>,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) cluster_state: ClusterState,
    /// Leased keys, with the time at which the lease ends.
    pub(crate) keys: BTreeMap<Member, Duration>,
    pub(crate) revision: Revision,
    /// Limits by revision.
    pub(crate) limits: BTreeMap<Revision, BTreeMap<TeamId, Permits>>,
    /// Every book that there was, by epoch.
    pub(crate) history: BTreeMap<Epoch, ClusterState>,
    /// Commits on their way; they take effect some time or never.
    pub(crate) late: Vec<Commit>,
}

impl Store {
    pub(crate) fn expire(&mut self, now: Duration) {
        self.keys.retain(|_, end| now < *end);
    }

    pub(crate) fn present(&self) -> BTreeSet<Member> {
        self.keys.keys().cloned().collect()
    }

    /// Renews a lease; false if it has lapsed.
    pub(crate) fn renew(&mut self, member: &Member, now: Duration, ttl: Duration) -> bool {
        let Some(end) = self.keys.get_mut(member) else {
            return false;
        };
        *end = now + ttl;
        true
    }

    pub(crate) fn commit(&mut self, commit: Commit, now: Duration, ttl: Duration) -> bool {
        let guarded = commit.absent.iter().any(|member| self.keys.contains_key(member));
        if self.cluster_state.epoch != commit.base || guarded {
            return false;
        }
        if commit.cluster_state.epoch > commit.base {
            self.history.insert(commit.cluster_state.epoch, commit.cluster_state.clone());
            self.cluster_state = commit.cluster_state;
        }
        if let Some(member) = commit.put {
            self.keys.insert(member, now + ttl);
        }
        true
    }
}
