//! The hosts that are alive, and the one that leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_net::from_msgpack;
use vg_store::{Entry, Key, Listing, StoreRevision, WatchBatch};

use crate::HostCapacity;
use crate::keys::{HOST_PREFIX, HostValue, LEADER_KEY, LeaderValue};

/// Time after an outage of the store in which hosts and workers whose records have lapsed
/// write them again.
pub(crate) const LAPSED_TIME: Duration = Duration::from_millis(2300);

/// The hosts that are alive, according to the last update from the store.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Whether the members have been listed from the store at least once.
    pub(crate) listed: bool,
    pub(crate) leader: Option<(LeaderValue, StoreRevision)>,
    pub(crate) hosts: BTreeMap<SmolStr, HostValue>,
    /// Process of the last known leader, and when it was last known to be alive while
    /// neither it nor this host reached the store.
    last_leader: Option<(u64, Option<DualInstant>)>,
    /// Addresses of hosts whose records lapsed around an outage of the store, and when.
    lapsed: Vec<(SocketAddr, DualInstant)>,
    /// When a peer last answered.
    last_answer: Option<DualInstant>,
}

impl Members {
    /// Notes that the records of these hosts may lapse now although the hosts are alive,
    /// because the store is or was away.
    pub(crate) fn keep_lapsed<C: Clock>(&mut self, clock: &C) {
        self.lapsed.retain(|(_, at)| at.age(clock) < LAPSED_TIME);
        let now = DualInstant::now(clock);
        self.lapsed.extend(self.hosts.values().map(|host| (host.peer_addr, now)));
        // The latest entry of each host counts.
        self.lapsed.sort_by_key(|(addr, at)| (*addr, at.age(clock)));
        self.lapsed.dedup_by_key(|(addr, _)| *addr);
    }

    /// Replaces the members by a complete listing.
    pub(crate) fn replace_all(&mut self, listing: &Listing) {
        self.listed = true;
        self.leader = None;
        self.hosts.clear();
        for entry in &listing.entries {
            self.put(entry);
        }
    }

    /// Applies changes since the last update.
    pub(crate) fn apply(&mut self, batch: &WatchBatch) {
        for (key, entry) in &batch.changes {
            match entry {
                Some(entry) => self.put(entry),
                None => self.remove(key),
            }
        }
    }

    fn put(&mut self, entry: &Entry) {
        if entry.key.0 == LEADER_KEY {
            self.leader = decode(entry).map(|value| (value, entry.modified));
            self.remember_leader();
        } else if let Some(node) = entry.key.0.strip_prefix(HOST_PREFIX)
            && let Some(value) = decode(entry)
        {
            self.hosts.insert(node.into(), value);
        }
    }

    fn remove(&mut self, key: &Key) {
        if key.0 == LEADER_KEY {
            self.leader = None;
        } else if let Some(node) = key.0.strip_prefix(HOST_PREFIX) {
            self.hosts.remove(node);
        }
    }

    /// Returns the addresses of all hosts except `own`, the leader first.
    pub(crate) fn others(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let leader = self.leader.iter().map(|(leader, _)| leader.peer_addr);
        let hosts = self.hosts.values().map(|host| host.peer_addr);
        let mut others = Vec::new();
        for addr in leader.chain(hosts) {
            if addr != own && !others.contains(&addr) {
                others.push(addr);
            }
        }
        others
    }

    /// Returns the addresses of all hosts except `own`, and of those whose records lapsed
    /// around an outage a short time ago.
    pub(crate) fn others_or_lapsed<C: Clock>(&self, own: SocketAddr, clock: &C) -> Vec<SocketAddr> {
        let mut others = self.others(own);
        for (addr, at) in &self.lapsed {
            if *addr != own && at.age(clock) < LAPSED_TIME && !others.contains(addr) {
                others.push(*addr);
            }
        }
        others
    }

    /// Keeps which process leads, for the time after its key has lapsed.
    fn remember_leader(&mut self) {
        let Some((leader, _)) = &self.leader else { return };
        if self.last_leader.is_none_or(|(nonce, _)| nonce != leader.nonce) {
            self.last_leader = Some((leader.nonce, None));
        }
    }

    /// Notes that a leader is alive while the store is away. One that is not the last known
    /// leader is ignored.
    pub(crate) fn hear_leader(&mut self, nonce: u64, at: DualInstant) {
        if let Some((last, heard)) = &mut self.last_leader
            && *last == nonce
        {
            *heard = Some(at);
        }
    }

    /// Returns the time since the last known leader was alive while the store was away.
    pub(crate) fn leader_heard<C: Clock>(&self, clock: &C) -> Option<Duration> {
        let (_, heard) = self.last_leader?;
        heard.map(|at| at.age(clock))
    }

    /// Whether a host that is alive carries clearly more than one of `capacity`.
    pub(crate) fn has_larger(&self, capacity: &HostCapacity) -> bool {
        self.hosts.values().any(|host| host.capacity.exceeds(capacity))
    }

    /// Notes that a peer answered at `at`.
    pub(crate) fn record_answer(&mut self, at: DualInstant) {
        self.last_answer = Some(at);
    }

    /// Whether a peer answered less than `within` ago.
    pub(crate) fn answered_within<C: Clock>(&self, clock: &C, within: Duration) -> bool {
        self.last_answer.is_some_and(|at| at.age(clock) < within)
    }
}

/// Decodes a record. Returns `None` and logs a warning if it is malformed.
fn decode<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    let value = from_msgpack(&entry.value);
    if let Err(error) = &value {
        log::warn!(target: "store", "the value of key {} is malformed: {error}", entry.key);
    }
    value.ok()
}
