//! One team's waiting and running work in a pool.

use std::collections::BTreeMap;

use slotmap::new_key_type;
use vg_base::prelude::*;
use vg_conf::Class;

use crate::Ticket;
use crate::credit::Credit;
use crate::lane::{Lane, Order};

new_key_type! {
    /// A team in the scheduler's table.
    pub(crate) struct TeamKey;
}

/// One team's waiting and running work in a pool.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) id: TeamId,
    pub(crate) share: Share,
    /// Whether the rules in force name the team.
    pub(crate) listed: bool,
    /// Weighted slot time used while others waited, in slot-seconds a share.
    pub(crate) clock: f64,
    /// The same for background work alone.
    pub(crate) floor: f64,
    /// Slot time used in all, in slot-seconds.
    pub(crate) used: f64,
    pub(crate) running: usize,
    pub(crate) background: usize,
    pub(crate) waiting: usize,
    /// Whether its upper limit kept its work from starting at the last decision.
    pub(crate) blocked: bool,
    /// Whether it was asked for its units in this decision.
    pub(crate) asked: bool,
    pub(crate) urgent: BTreeMap<QueueId, Lane>,
    pub(crate) patient: BTreeMap<QueueId, Lane>,
}

impl Team {
    pub(crate) fn new(id: TeamId, share: Share) -> Team {
        Team {
            id,
            share,
            listed: true,
            clock: 0.0,
            floor: 0.0,
            used: 0.0,
            running: 0,
            background: 0,
            waiting: 0,
            blocked: false,
            asked: false,
            urgent: BTreeMap::new(),
            patient: BTreeMap::new(),
        }
    }

    /// Weight; a share of zero counts as the smallest.
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.share.get().max(1))
    }

    /// Position on the pool's virtual clock: slot time used, plus one typical
    /// run time for each item that runs.
    ///
    /// The second part makes a decision see those just before it, when many
    /// slots come free at once.
    pub(crate) fn position(&self, typical: f64) -> f64 {
        self.clock + self.running as f64 * typical / self.weight()
    }

    /// Position on the pool's clock of background work.
    pub(crate) fn floor_position(&self, typical: f64) -> f64 {
        self.floor + self.background as f64 * typical / self.weight()
    }

    /// Moves the team's position into the bounds around the pool's clocks:
    /// neither an old claim nor an old debt lasts.
    pub(crate) fn bound(&mut self, clock: f64, floor: f64, typical: f64, credit: Credit) {
        let weight = self.weight();
        let position = self.position(typical);
        let within = position.clamp(clock - credit.behind / weight, clock + credit.debt / weight);
        self.clock += within - position;
        let position = self.floor_position(typical);
        let within = position.clamp(floor - credit.behind / weight, floor + credit.debt / weight);
        self.floor += within - position;
    }

    /// Whether background work of the team waits.
    pub(crate) fn has_patient(&self) -> bool {
        self.patient.values().any(|lane| !lane.waiting.is_empty())
    }

    /// Accounts for `secs` of running; `contended` tells if others waited.
    pub(crate) fn accrue(&mut self, secs: f64, contended: bool) {
        let slot_secs = self.running as f64 * secs;
        self.used += slot_secs;
        if contended {
            self.clock += slot_secs / self.weight();
            self.floor += self.background as f64 * secs / self.weight();
        }
        for lane in self.patient.values_mut() {
            lane.clock += lane.running as f64 * secs;
        }
    }

    /// Returns the lane of a queue, made when it is first used.
    pub(crate) fn lane(&mut self, queue: &QueueId, class: Class) -> &mut Lane {
        let base = self.patient_base();
        let lanes = match class {
            Class::Urgent => &mut self.urgent,
            Class::Background => &mut self.patient,
        };
        let lane = lanes.entry(queue.clone()).or_default();
        if lane.waiting.is_empty() {
            // A lane that was idle keeps no claim on the time it did not use.
            lane.clock = lane.clock.max(base);
        }
        lane
    }

    /// Returns the lane of a queue if there is one.
    pub(crate) fn find(&mut self, queue: &QueueId, class: Class) -> Option<&mut Lane> {
        match class {
            Class::Urgent => self.urgent.get_mut(queue),
            Class::Background => self.patient.get_mut(queue),
        }
    }

    /// Returns the urgent item with the earliest deadline.
    pub(crate) fn first_urgent(&self) -> Option<(Order, Ticket)> {
        self.urgent.values().filter_map(Lane::first).min()
    }

    /// Returns the first background item of the queue that has had the least
    /// slot time.
    pub(crate) fn first_patient(&self, typical: f64) -> Option<(Order, Ticket)> {
        let lanes = self.patient.values().filter(|lane| !lane.waiting.is_empty());
        lanes.min_by(|a, b| a.position(typical).total_cmp(&b.position(typical)))?.first()
    }

    /// Forgets the idle lanes of queues that are not kept.
    pub(crate) fn retain_lanes(&mut self, is_kept: impl Fn(&QueueId) -> bool) {
        let keep = |queue: &QueueId, lane: &Lane| is_kept(queue) || !lane.is_idle();
        self.urgent.retain(|queue, lane| keep(queue, lane));
        self.patient.retain(|queue, lane| keep(queue, lane));
    }

    /// Whether nothing of the team waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// Returns how many of the team's urgent items wait.
    pub(crate) fn waiting_urgent(&self) -> usize {
        self.urgent.values().map(|lane| lane.waiting.len()).sum()
    }

    /// Returns how many of the team's items wait in `queue`.
    pub(crate) fn waiting_in(&self, queue: &QueueId, class: Class) -> usize {
        let lanes = match class {
            Class::Urgent => &self.urgent,
            Class::Background => &self.patient,
        };
        lanes.get(queue).map_or(0, |lane| lane.waiting.len())
    }

    fn patient_base(&self) -> f64 {
        let lanes = self.patient.values().filter(|lane| !lane.waiting.is_empty());
        let least = lanes.map(|lane| lane.clock).min_by(f64::total_cmp);
        least.unwrap_or_default()
    }
}
