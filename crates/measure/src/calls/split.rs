//! Baseline: each team has fixed slots in proportion to its share.

use std::collections::VecDeque;

use vg_base::prelude::*;

use super::policy::Policy;
use super::site::Site;
use super::trace::Call;

/// One team's own queue and slots.
#[derive(Debug, Default)]
struct Part {
    slots: usize,
    running: usize,
    waiting: VecDeque<(usize, Instant)>,
}

/// Each team has fixed slots in proportion to its share, and one queue.
#[derive(Debug)]
pub(crate) struct Split {
    parts: Vec<Part>,
    bound: usize,
    expired: Vec<usize>,
}

impl Split {
    pub(crate) fn new(site: &Site) -> Split {
        let shares: u32 = site.teams.iter().map(|team| team.share).sum();
        let slots = |share: u32| (site.slots() * share as usize) / shares as usize;
        let parts =
            site.teams.iter().map(|team| Part { slots: slots(team.share), ..Part::default() });
        let bound = site.queues.iter().map(|queue| queue.bound as usize).sum();
        let mut parts: Vec<Part> = parts.collect();
        let given: usize = parts.iter().map(|part| part.slots).sum();
        // What rounding left over goes to the first teams.
        parts.iter_mut().take(site.slots() - given).for_each(|part| part.slots += 1);
        Split { parts, bound, expired: Vec::new() }
    }
}

impl Policy for Split {
    fn offer(&mut self, call: &Call, now: Instant) -> bool {
        let part = &mut self.parts[call.team];
        let room = part.waiting.len() < self.bound;
        if room {
            part.waiting.push_back((call.id, now + call.deadline));
        }
        room
    }

    fn next(&mut self, now: Instant) -> Option<usize> {
        for part in self.parts.iter_mut().filter(|part| part.running < part.slots) {
            while let Some((id, deadline)) = part.waiting.pop_front() {
                if deadline > now {
                    part.running += 1;
                    return Some(id);
                }
                self.expired.push(id);
            }
        }
        None
    }

    fn finish(&mut self, call: &Call, _: Instant) {
        self.parts[call.team].running -= 1;
    }

    fn expire(&mut self, _: Instant) -> Vec<usize> {
        std::mem::take(&mut self.expired)
    }
}
