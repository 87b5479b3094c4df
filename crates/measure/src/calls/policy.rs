//! Policies that order a pool's waiting calls.

use std::collections::HashMap;

use vg_base::prelude::*;
use vg_share::{Scheduler, Ticket, WorkItem};

use super::site::Site;
use super::trace::Call;

/// Orders a pool's waiting calls. A call is named by its number in the trace.
pub(crate) trait Policy {
    /// Takes in a call. Returns false if it is refused.
    fn offer(&mut self, call: &Call, now: Instant) -> bool;

    /// Gives a free slot to a waiting call.
    fn next(&mut self, now: Instant) -> Option<usize>;

    /// Ends a call that had a slot.
    fn finish(&mut self, call: &Call, now: Instant);

    /// Returns the waiting calls that are refused now.
    fn expire(&mut self, now: Instant) -> Vec<usize>;
}

/// The product's own scheduler.
#[derive(Debug)]
pub(crate) struct Fair {
    site: Site,
    scheduler: Scheduler,
    calls: HashMap<Ticket, usize>,
    tickets: HashMap<usize, Ticket>,
}

impl Fair {
    pub(crate) fn new(site: &Site) -> Fair {
        let mut scheduler = Scheduler::new(site.rules());
        scheduler.resize(Slots(site.slots() as u32));
        Fair { site: site.clone(), scheduler, calls: HashMap::new(), tickets: HashMap::new() }
    }
}

impl Policy for Fair {
    fn offer(&mut self, call: &Call, now: Instant) -> bool {
        let item = WorkItem {
            queue: self.site.queues[call.queue].id.clone(),
            team: self.site.teams[call.team].id.clone(),
            class: call.class,
            deadline: now + call.deadline,
            expected: call.declared,
        };
        match self.scheduler.offer(item, now) {
            Ok(ticket) => {
                self.calls.insert(ticket, call.id);
                self.tickets.insert(call.id, ticket);
                true
            }
            Err(_) => false,
        }
    }

    fn next(&mut self, now: Instant) -> Option<usize> {
        let (ticket, _) = self.scheduler.start_next(now, |_| true)?;
        self.calls.get(&ticket).copied()
    }

    fn finish(&mut self, call: &Call, now: Instant) {
        if let Some(ticket) = self.tickets.remove(&call.id) {
            self.calls.remove(&ticket);
            self.scheduler.finish(ticket, now);
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<usize> {
        let refused = self.scheduler.expire(now);
        refused.iter().filter_map(|(ticket, _)| self.calls.remove(ticket)).collect()
    }
}
