//! One team's waiting and running work in a pool.

use std::collections::BTreeMap;

use slotmap::new_key_type;
use vg_base::prelude::*;
use vg_conf::Class;

use crate::Ticket;
use crate::lane::{Lane, StartOrder};
use crate::share_bounds::ShareBounds;

new_key_type! {
    /// Identifies a team in the scheduler's table.
    pub(crate) struct TeamKey;
}

/// One team's waiting and running work in a pool.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) id: TeamId,
    pub(crate) share: Share,
    /// Whether the current rules name the team.
    pub(crate) listed: bool,
    /// Slot time used while work that may start waited in the pool, divided by the
    /// team's weight, in slot-seconds for each unit of share. It is moved by
    /// [`Team::clamp_position`].
    pub(crate) virtual_time: f64,
    /// The same for background work alone.
    pub(crate) background_time: f64,
    /// Total slot time used, in slot-seconds.
    pub(crate) used_secs: f64,
    pub(crate) running: usize,
    /// Number of running background items.
    pub(crate) running_background: usize,
    pub(crate) waiting: usize,
    /// Whether the team had no idle permit when a decision last asked for one.
    pub(crate) no_permit: bool,
    /// Whether the current decision has already asked if the team may start work.
    pub(crate) asked: bool,
    /// Lanes of urgent work by queue.
    pub(crate) urgent: BTreeMap<QueueId, Lane>,
    /// Lanes of background work by queue.
    pub(crate) background: BTreeMap<QueueId, Lane>,
}

impl Team {
    pub(crate) fn new(id: TeamId, share: Share) -> Team {
        Team {
            id,
            share,
            listed: true,
            virtual_time: 0.0,
            background_time: 0.0,
            used_secs: 0.0,
            running: 0,
            running_background: 0,
            waiting: 0,
            no_permit: false,
            asked: false,
            urgent: BTreeMap::new(),
            background: BTreeMap::new(),
        }
    }

    /// Returns the weight of the team's share. A share of zero counts as one.
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.share.get().max(1))
    }

    /// Returns the team's position, which is compared with the pool's virtual time:
    /// the virtual time of the team, plus one weighted typical run time for each
    /// running item.
    ///
    /// Because running items count, a decision takes account of the decisions just
    /// before it, when many slots become free at once.
    pub(crate) fn position(&self, typical_run: f64) -> f64 {
        self.virtual_time + self.running as f64 * typical_run / self.weight()
    }

    /// Returns the team's position for background work, which is compared with the
    /// pool's virtual time of background work.
    pub(crate) fn background_position(&self, typical_run: f64) -> f64 {
        self.background_time + self.running_background as f64 * typical_run / self.weight()
    }

    /// Moves the team's positions into the bounds around the pool's virtual times, so
    /// that a team neither saves up slot time while it is idle nor pays back an old
    /// excess for long.
    pub(crate) fn clamp_position(
        &mut self,
        virtual_time: f64,
        background_time: f64,
        typical_run: f64,
        bounds: ShareBounds,
    ) {
        let weight = self.weight();
        let position = self.position(typical_run);
        let clamped = position.clamp(
            virtual_time - bounds.max_behind / weight,
            virtual_time + bounds.max_debt / weight,
        );
        self.virtual_time += clamped - position;
        let position = self.background_position(typical_run);
        let clamped = position.clamp(
            background_time - bounds.max_behind / weight,
            background_time + bounds.max_debt / weight,
        );
        self.background_time += clamped - position;
    }

    /// Whether background work of the team waits.
    pub(crate) fn has_background(&self) -> bool {
        self.background.values().any(|lane| !lane.waiting.is_empty())
    }

    /// Charges the running items for `secs` seconds. The team's virtual times only
    /// advance if `contended`, that is, if work that may start was waiting.
    pub(crate) fn charge(&mut self, secs: f64, contended: bool) {
        let slot_secs = self.running as f64 * secs;
        self.used_secs += slot_secs;
        if contended {
            self.virtual_time += slot_secs / self.weight();
            self.background_time += self.running_background as f64 * secs / self.weight();
        }
        for lane in self.background.values_mut() {
            lane.used_secs += lane.running as f64 * secs;
        }
    }

    /// Returns the lane of a queue, which is created on first use.
    pub(crate) fn lane(&mut self, queue: &QueueId, class: Class) -> &mut Lane {
        let least_used = self.least_used();
        let lanes = match class {
            Class::Urgent => &mut self.urgent,
            Class::Background => &mut self.background,
        };
        let lane = lanes.entry(queue.clone()).or_default();
        if lane.waiting.is_empty() {
            // A lane without waiting work does not save up slot time. Only background
            // lanes are compared by the slot time that they used.
            lane.used_secs = lane.used_secs.max(least_used);
        }
        lane
    }

    /// Returns the lane of a queue, if there is one.
    pub(crate) fn find_lane(&mut self, queue: &QueueId, class: Class) -> Option<&mut Lane> {
        match class {
            Class::Urgent => self.urgent.get_mut(queue),
            Class::Background => self.background.get_mut(queue),
        }
    }

    /// Returns the urgent item whose latest start comes first.
    pub(crate) fn first_urgent(&self) -> Option<(StartOrder, Ticket)> {
        self.urgent.values().filter_map(Lane::first).min()
    }

    /// Returns the first background item of the queue that has used the least slot
    /// time, with a typical run time counted for each running item.
    pub(crate) fn first_background(&self, typical_run: f64) -> Option<(StartOrder, Ticket)> {
        let lanes = self.background.values().filter(|lane| !lane.waiting.is_empty());
        lanes.min_by(|a, b| a.position(typical_run).total_cmp(&b.position(typical_run)))?.first()
    }

    /// Removes the idle lanes of queues that are not kept.
    pub(crate) fn retain_lanes(&mut self, is_kept: impl Fn(&QueueId) -> bool) {
        let keep = |queue: &QueueId, lane: &Lane| is_kept(queue) || !lane.is_idle();
        self.urgent.retain(|queue, lane| keep(queue, lane));
        self.background.retain(|queue, lane| keep(queue, lane));
    }

    /// Whether the team has no waiting and no running items.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// Returns the number of the team's waiting urgent items.
    pub(crate) fn waiting_urgent(&self) -> usize {
        self.urgent.values().map(|lane| lane.waiting.len()).sum()
    }

    /// Returns the number of the team's waiting items in `queue`.
    pub(crate) fn waiting_in(&self, queue: &QueueId, class: Class) -> usize {
        let lanes = match class {
            Class::Urgent => &self.urgent,
            Class::Background => &self.background,
        };
        lanes.get(queue).map_or(0, |lane| lane.waiting.len())
    }

    /// Returns the least slot time used by a background lane with waiting work, zero
    /// if there is none.
    fn least_used(&self) -> f64 {
        let lanes = self.background.values().filter(|lane| !lane.waiting.is_empty());
        let least = lanes.map(|lane| lane.used_secs).min_by(f64::total_cmp);
        least.unwrap_or_default()
    }
}
