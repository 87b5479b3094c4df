//! A host list whose changes become visible to readers only after a delay.

use std::collections::{BTreeMap, VecDeque};

use vg_base::prelude::*;

use crate::hosts::{Host, HostState, HostsResponse};

/// The current host list, and snapshots of it that readers can still get.
#[derive(Debug, Default)]
pub(crate) struct LaggingList {
    hosts: BTreeMap<HostId, Host>,
    revision: Revision,
    lag: Duration,
    /// Snapshots with the times of their changes, oldest first.
    history: VecDeque<(Instant, HostsResponse)>,
}

impl LaggingList {
    /// Sets the delay after which a change becomes visible. Snapshots that were
    /// dropped already don't come back with a longer delay.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a host.
    pub(crate) fn put(&mut self, host: Host, now: Instant) {
        self.hosts.insert(host.id.clone(), host);
        self.record_snapshot(now);
    }

    /// Sets the state of a host. Returns whether the host is listed.
    pub(crate) fn set_state(&mut self, id: &HostId, state: HostState, now: Instant) -> bool {
        let Some(host) = self.hosts.get_mut(id) else { return false };
        host.state = state;
        self.record_snapshot(now);
        true
    }

    /// Removes a host. Returns whether the host was listed.
    pub(crate) fn remove(&mut self, id: &HostId, now: Instant) -> bool {
        let listed = self.hosts.remove(id).is_some();
        if listed {
            self.record_snapshot(now);
        }
        listed
    }

    /// Returns the list that readers see at `now`: the newest snapshot that is at
    /// least as old as the delay, or an empty list. Drops older snapshots.
    pub(crate) fn visible(&mut self, now: Instant) -> HostsResponse {
        let lag = self.lag;
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        while self.history.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            self.history.pop_front();
        }
        let first = self.history.front().filter(|(at, _)| is_visible(*at));
        first.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn record_snapshot(&mut self, now: Instant) {
        self.revision = self.revision.next();
        let hosts = self.hosts.values().cloned().collect();
        self.history.push_back((now, HostsResponse { revision: self.revision, hosts }));
        // Drops snapshots that are no longer needed. Reads do so too, but the list may
        // never be read.
        self.visible(now);
    }
}
