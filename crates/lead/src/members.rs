//! The hosts that are alive, and which one leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_net::from_msgpack;
use vg_store::{Entry, Key, Listing, StoreRevision, WatchBatch};

use crate::keys::{HOSTS, HostValue, LEADER, LeaderValue};
use crate::mark::Mark;

/// The hosts that are alive, as the store last showed them.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Whether the store has shown them at all.
    pub(crate) listed: bool,
    pub(crate) leader: Option<(LeaderValue, StoreRevision)>,
    pub(crate) hosts: BTreeMap<SmolStr, HostValue>,
    /// When a peer last answered.
    answered: Option<Mark>,
}

impl Members {
    /// Takes the whole list.
    pub(crate) fn list(&mut self, listing: &Listing) {
        self.listed = true;
        self.leader = None;
        self.hosts.clear();
        for entry in &listing.entries {
            self.put(entry);
        }
    }

    /// Takes changes of the list.
    pub(crate) fn change(&mut self, batch: &WatchBatch) {
        for (key, entry) in &batch.changes {
            match entry {
                Some(entry) => self.put(entry),
                None => self.remove(key),
            }
        }
    }

    fn put(&mut self, entry: &Entry) {
        if entry.key.0 == LEADER {
            self.leader = read(entry).map(|value| (value, entry.modified));
        } else if let Some(node) = entry.key.0.strip_prefix(HOSTS)
            && let Some(value) = read(entry)
        {
            self.hosts.insert(node.into(), value);
        }
    }

    fn remove(&mut self, key: &Key) {
        if key.0 == LEADER {
            self.leader = None;
        } else if let Some(node) = key.0.strip_prefix(HOSTS) {
            self.hosts.remove(node);
        }
    }

    /// Returns the addresses of other hosts, the leader first.
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

    pub(crate) fn note_answer(&mut self, mark: Mark) {
        self.answered = Some(mark);
    }

    pub(crate) fn heard<C: Clock>(&self, clock: &C, within: Duration) -> bool {
        self.answered.is_some_and(|mark| mark.age(clock) < within)
    }
}

fn read<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    let value = from_msgpack(&entry.value);
    if let Err(error) = &value {
        log::warn!(target: "store", "the value of {} can't be read: {error}", entry.key);
    }
    value.ok()
}
