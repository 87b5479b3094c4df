//! Baseline: each team has a fixed number of slots in proportion to its share.

use std::collections::VecDeque;

use vg_base::prelude::*;

use super::policy::Policy;
use super::site::Site;
use super::trace::Call;

/// The queue and the slots of one team.
#[derive(Debug, Default)]
struct Partition {
    slots: usize,
    running: usize,
    /// Waiting calls with their deadlines.
    waiting: VecDeque<(usize, Instant)>,
}

/// Gives each team a fixed number of slots in proportion to its share, and one queue that
/// is served in the order of arrival.
#[derive(Debug)]
pub(crate) struct StaticSplit {
    partitions: Vec<Partition>,
    /// Largest number of waiting calls per team.
    max_waiting: usize,
    expired: Vec<usize>,
}

impl StaticSplit {
    pub(crate) fn new(site: &Site) -> StaticSplit {
        let shares: u32 = site.teams.iter().map(|team| team.share).sum();
        let slots = |share: u32| (site.slots() * share as usize) / shares as usize;
        let partitions = site
            .teams
            .iter()
            .map(|team| Partition { slots: slots(team.share), ..Partition::default() });
        let max_waiting = site.queues.iter().map(|queue| queue.max_waiting as usize).sum();
        let mut partitions: Vec<Partition> = partitions.collect();
        let assigned: usize = partitions.iter().map(|partition| partition.slots).sum();
        // The slots that rounding leaves over go to the first teams.
        partitions
            .iter_mut()
            .take(site.slots() - assigned)
            .for_each(|partition| partition.slots += 1);
        StaticSplit { partitions, max_waiting, expired: Vec::new() }
    }
}

impl Policy for StaticSplit {
    fn offer(&mut self, call: &Call, now: Instant) -> bool {
        let partition = &mut self.partitions[call.team];
        let accepted = partition.waiting.len() < self.max_waiting;
        if accepted {
            partition.waiting.push_back((call.id, now + call.deadline));
        }
        accepted
    }

    // A call past its deadline is dropped only when it is at the head of its team's queue and
    // the team has a free slot. Until then it counts towards `max_waiting`.
    fn start_next(&mut self, now: Instant) -> Option<usize> {
        for partition in
            self.partitions.iter_mut().filter(|partition| partition.running < partition.slots)
        {
            while let Some((id, deadline)) = partition.waiting.pop_front() {
                if deadline > now {
                    partition.running += 1;
                    return Some(id);
                }
                self.expired.push(id);
            }
        }
        None
    }

    fn finish(&mut self, call: &Call, _: Instant) {
        self.partitions[call.team].running -= 1;
    }

    fn expire(&mut self, _: Instant) -> Vec<usize> {
        std::mem::take(&mut self.expired)
    }
}
