//! Workers that come back under their ids on each other's machines, and workers that get the
//! addresses of others that have ended.

use std::collections::HashMap;

use rand::Rng;
use vg_base::prelude::*;
use vg_flow::WorkerIncarnation;

use super::world::World;

/// Time after which a registration is read.
const SEEN_MS: std::ops::Range<u64> = 20..900;

/// Where a worker is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    machine: SmolStr,
    pool: SmolStr,
    addr: u16,
}

/// Places of workers that differ from the usual ones.
#[derive(Debug, Default)]
pub(crate) struct Places {
    /// Addresses by worker.
    addrs: HashMap<usize, u16>,
    /// Places that are still registered, by worker.
    earlier: HashMap<usize, Place>,
}

/// What is at the address to which a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    /// The worker that is meant, in any life.
    Meant(usize),
    /// Another worker, which refuses the call.
    Other,
    /// No worker.
    Nobody,
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    fn addr(&self, at: usize) -> u16 {
        self.places.addrs.get(&at).copied().unwrap_or(1000 + at as u16)
    }

    fn place(&self, at: usize) -> Place {
        let worker = &self.workers[at];
        let addr = self.addr(at);
        Place { machine: worker.machine.clone(), pool: worker.pool.clone(), addr }
    }

    /// Gives a worker the address of another one, which has ended.
    pub(super) fn take_address(&mut self, at: usize, of: usize) {
        let addr = self.addr(of);
        self.places.addrs.insert(at, addr);
    }

    /// Returns the incarnation of a worker as it is registered, and its machine.
    pub(super) fn registered(&self, at: usize) -> (WorkerIncarnation, SmolStr) {
        let earlier = self.places.earlier.get(&at).filter(|_| self.unseen.contains_key(&at));
        let place = earlier.cloned().unwrap_or_else(|| self.place(at));
        let incarnation = WorkerIncarnation {
            start_ms: self.registered_start(at),
            pool: place.pool.parse().unwrap(),
            addr: ([127, 0, 0, 1], place.addr).into(),
            ..self.incarnation(at)
        };
        (incarnation, place.machine)
    }

    /// Returns the address of a worker.
    pub(super) fn socket_of(&self, at: usize) -> std::net::SocketAddr {
        ([127, 0, 0, 1], self.addr(at)).into()
    }

    /// Returns what a call to an incarnation reaches.
    pub(super) fn target(&self, to: &WorkerIncarnation) -> Target {
        let here = (0..self.workers.len())
            .filter(|&at| self.workers[at].up && self.addr(at) == to.addr.port());
        let mut meant = here.clone().filter(|&at| self.workers[at].id == to.id.as_str());
        match (meant.next(), here.count()) {
            (Some(at), _) => Target::Meant(at),
            (None, 0) => Target::Nobody,
            (None, _) => Target::Other,
        }
    }

    /// Lets two workers come back on each other's machines. Their addresses stay with the
    /// machines, or go with the ids.
    pub(super) fn swap(&mut self) {
        let count = self.workers.len();
        let (one, other) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        let is_free = |at: usize| self.workers[at].up && !self.unseen.contains_key(&at);
        if one != other && is_free(one) && is_free(other) {
            let addresses_stay = self.rng.random_bool(0.5);
            self.swap_machines(one, other, addresses_stay);
        }
    }

    /// Starts two workers again, each on the other one's machine. Their registrations are read
    /// later.
    pub(crate) fn swap_machines(&mut self, one: usize, other: usize, addresses_stay: bool) {
        let places = [(one, self.place(one)), (other, self.place(other))];
        let ms = self.ms;
        for (at, to) in [(one, &places[1].1), (other, &places[0].1)] {
            let registered = self.registered_start(at);
            self.workers[at].restart(ms);
            self.workers[at].machine = to.machine.clone();
            self.workers[at].pool = to.pool.clone();
            if addresses_stay {
                self.places.addrs.insert(at, to.addr);
            }
            self.broken_polls.insert(at);
            let due = ms + self.rng.random_range(SEEN_MS);
            self.unseen.insert(at, (registered, due));
        }
        self.places.earlier.extend(places);
    }

    /// Sets in how many milliseconds the registration of an unseen life is read.
    pub(crate) fn register_in(&mut self, at: usize, ms: u64) {
        let due = self.ms + ms;
        if let Some(unseen) = self.unseen.get_mut(&at) {
            unseen.1 = due;
        }
    }
}
