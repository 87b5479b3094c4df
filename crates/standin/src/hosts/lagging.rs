//! A list of hosts that is shown as it was a while ago.

use std::collections::{BTreeMap, VecDeque};

use vg_base::prelude::*;

use crate::hosts::{Host, HostState, HostsResponse};

/// The list, and its earlier states as far as they can still be shown.
#[derive(Debug, Default)]
pub(crate) struct LaggingList {
    hosts: BTreeMap<HostId, Host>,
    revision: Revision,
    lag: Duration,
    past: VecDeque<(Instant, HostsResponse)>,
}

impl LaggingList {
    /// Sets how late changes are shown.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a host.
    pub(crate) fn put(&mut self, host: Host, now: Instant) {
        self.hosts.insert(host.id.clone(), host);
        self.changed(now);
    }

    /// Sets whether a host leaves; returns whether it is listed.
    pub(crate) fn set_state(&mut self, id: &HostId, state: HostState, now: Instant) -> bool {
        let Some(host) = self.hosts.get_mut(id) else { return false };
        host.state = state;
        self.changed(now);
        true
    }

    /// Removes a host; returns whether it was listed.
    pub(crate) fn remove(&mut self, id: &HostId, now: Instant) -> bool {
        let listed = self.hosts.remove(id).is_some();
        if listed {
            self.changed(now);
        }
        listed
    }

    /// Returns the list as it was before the lag.
    pub(crate) fn show(&mut self, now: Instant) -> HostsResponse {
        let lag = self.lag;
        let shown = |at: Instant| now.saturating_duration_since(at) >= lag;
        while self.past.get(1).is_some_and(|(at, _)| shown(*at)) {
            self.past.pop_front();
        }
        let first = self.past.front().filter(|(at, _)| shown(*at));
        first.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn changed(&mut self, now: Instant) {
        self.revision = self.revision.next();
        let hosts = self.hosts.values().cloned().collect();
        self.past.push_back((now, HostsResponse { revision: self.revision, hosts }));
        // States that no longer can be shown go; the list may never be read.
        self.show(now);
    }
}
