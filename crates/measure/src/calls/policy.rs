//! Policies that choose which of a pool's waiting calls starts next.

use std::collections::HashMap;

use vg_base::prelude::*;
use vg_share::{Scheduler, Ticket, WorkItem};

use super::site::Site;
use super::trace::Call;

/// Chooses which of a pool's waiting calls starts next. Calls are identified by their index
/// in the trace.
pub(crate) trait Policy {
    /// Queues a call. Returns false if the call is refused.
    fn offer(&mut self, call: &Call, now: Instant) -> bool;

    /// Removes the next call to start from the queue, if there is one.
    fn start_next(&mut self, now: Instant) -> Option<usize>;

    /// Reports that a call has ended and its slot is free.
    fn finish(&mut self, call: &Call, now: Instant);

    /// Removes the waiting calls that are refused and returns them.
    fn expire(&mut self, now: Instant) -> Vec<usize>;
}

/// The fair scheduler of the product.
#[derive(Debug)]
pub(crate) struct FairPolicy {
    site: Site,
    scheduler: Scheduler,
    /// Index of the call of each ticket.
    calls: HashMap<Ticket, usize>,
    /// Ticket of each call, by the index of the call.
    tickets: HashMap<usize, Ticket>,
}

impl FairPolicy {
    pub(crate) fn new(site: &Site) -> FairPolicy {
        let mut scheduler = Scheduler::new(site.rules());
        scheduler.resize(Slots(site.slots() as u32));
        FairPolicy { site: site.clone(), scheduler, calls: HashMap::new(), tickets: HashMap::new() }
    }
}

impl Policy for FairPolicy {
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

    fn start_next(&mut self, now: Instant) -> Option<usize> {
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
