//! The store of the simulation: the cluster state, the leased keys and the lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use vg_base::prelude::*;
use vg_peer::ClusterState;

/// A compare-and-swap of the cluster state.
#[derive(Debug, Clone)]
pub(crate) struct Commit {
    /// Epoch of the cluster state that the commit is based on.
    pub(crate) base: Epoch,
    pub(crate) cluster_state: ClusterState,
    /// Members whose leased keys must not exist, or the commit fails.
    pub(crate) absent: Vec<Member>,
    /// Member whose leased key the commit also writes.
    pub(crate) put: Option<Member>,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) cluster_state: ClusterState,
    /// Members with a leased key, and the time at which the lease expires.
    pub(crate) keys: BTreeMap<Member, Duration>,
    pub(crate) revision: Revision,
    /// Limits of each revision.
    pub(crate) limits: BTreeMap<Revision, BTreeMap<TeamId, Permits>>,
    /// All committed cluster states by epoch.
    pub(crate) history: BTreeMap<Epoch, ClusterState>,
    /// Commits in transit, which take effect at some time or never.
    pub(crate) delayed_commits: Vec<Commit>,
}

impl Store {
    pub(crate) fn expire(&mut self, now: Duration) {
        self.keys.retain(|_, end| now < *end);
    }

    pub(crate) fn present(&self) -> BTreeSet<Member> {
        self.keys.keys().cloned().collect()
    }

    /// Renews a lease. Returns false if the lease has expired.
    pub(crate) fn renew(&mut self, member: &Member, now: Duration, ttl: Duration) -> bool {
        let Some(end) = self.keys.get_mut(member) else {
            return false;
        };
        *end = now + ttl;
        true
    }

    /// Applies a commit if its base is the present cluster state and the keys that it requires
    /// to be absent are. Returns whether it took effect.
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
