//! Baseline: one queue for all teams, ordered by arrival or by deadline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use vg_base::prelude::*;

use super::policy::Policy;
use super::site::Site;
use super::trace::Call;

/// One queue for all teams. Calls are refused after their deadline has passed.
#[derive(Debug)]
pub(crate) struct Fcfs {
    max_waiting: usize,
    by_deadline: bool,
    /// Indices of the waiting calls, ordered by arrival or by deadline.
    waiting: BinaryHeap<Reverse<(Instant, usize)>>,
    deadlines: std::collections::HashMap<usize, Instant>,
    expired: Vec<usize>,
}

impl Fcfs {
    /// Returns a queue that is ordered by arrival.
    pub(crate) fn by_arrival(site: &Site) -> Fcfs {
        Fcfs::new(site, false)
    }

    /// Returns a queue that is ordered by deadline.
    pub(crate) fn by_deadline(site: &Site) -> Fcfs {
        Fcfs::new(site, true)
    }

    fn new(site: &Site, by_deadline: bool) -> Fcfs {
        Fcfs {
            max_waiting: site.queues.iter().map(|queue| queue.max_waiting as usize).sum(),
            by_deadline,
            waiting: BinaryHeap::new(),
            deadlines: std::collections::HashMap::new(),
            expired: Vec::new(),
        }
    }
}

impl Policy for Fcfs {
    fn offer(&mut self, call: &Call, now: Instant) -> bool {
        if self.waiting.len() >= self.max_waiting {
            return false;
        }
        let deadline = now + call.deadline;
        let order = if self.by_deadline { deadline } else { now };
        self.waiting.push(Reverse((order, call.id)));
        self.deadlines.insert(call.id, deadline);
        true
    }

    fn start_next(&mut self, now: Instant) -> Option<usize> {
        while let Some(Reverse((_, id))) = self.waiting.pop() {
            match self.deadlines.remove(&id) {
                Some(deadline) if deadline > now => return Some(id),
                _ => self.expired.push(id),
            }
        }
        None
    }

    fn finish(&mut self, _: &Call, _: Instant) {}

    fn expire(&mut self, _: Instant) -> Vec<usize> {
        std::mem::take(&mut self.expired)
    }
}
