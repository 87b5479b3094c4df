//! The scheduler of one pool.

mod admit;
mod rank;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;
use vg_base::prelude::*;
use vg_conf::Class;

use crate::candidate::Candidate;
use crate::entry::{ItemEntry, ItemState};
use crate::lane::StartOrder;
use crate::queue::Queue;
use crate::share_bounds::ShareBounds;
use crate::team::{Team, TeamKey};
use crate::{PoolRules, Refusal, SchedulerStats, ServiceTimes, TeamStats, Ticket, WorkItem};

use admit::RETRY_AFTER_MIN;

/// Decides which waiting work of one pool starts next.
///
/// A decision takes one pass over the teams, and time that is logarithmic in the
/// number of waiting items.
#[derive(Debug)]
pub struct Scheduler {
    floor_percent: u32,
    slots: Slots,
    urgent_credit: Duration,
    bounds: ShareBounds,
    teams: SlotMap<TeamKey, Team>,
    team_keys: BTreeMap<TeamId, TeamKey>,
    queues: BTreeMap<QueueId, Queue>,
    entries: SlotMap<Ticket, ItemEntry>,
    /// Waiting items by their latest start.
    by_start: BTreeSet<(Instant, Ticket)>,
    /// Refusals that the caller has not fetched yet.
    refused: Vec<(Ticket, Refusal)>,
    /// Buffer that is reused for the candidates of each decision.
    candidates: Vec<Candidate>,
    /// Run times of all of the pool's work.
    run_times: ServiceTimes,
    /// The pool's virtual time, in slot-seconds for each unit of share. It follows
    /// the least position of the teams with waiting work that may start, and never
    /// decreases. See [`Team::position`].
    virtual_time: f64,
    /// The same for background work alone.
    background_time: f64,
    /// Time up to which slot time has been accounted for.
    accounted_until: Option<Instant>,
    /// Whether work waits that may start, so that used slot time counts against
    /// shares.
    contended: bool,
    stopping: bool,
    /// Sequence number of the next item.
    serial: u64,
    running: usize,
    running_background: usize,
    waiting: usize,
}

impl Scheduler {
    /// Makes a scheduler for a pool without slots. See [`Scheduler::resize`].
    pub fn new(rules: PoolRules) -> Scheduler {
        let mut scheduler = Scheduler {
            floor_percent: 0,
            slots: Slots::ZERO,
            urgent_credit: Duration::ZERO,
            bounds: ShareBounds::for_pool(Slots::ZERO, Duration::ZERO),
            teams: SlotMap::with_key(),
            team_keys: BTreeMap::new(),
            queues: BTreeMap::new(),
            entries: SlotMap::with_key(),
            by_start: BTreeSet::new(),
            refused: Vec::new(),
            candidates: Vec::new(),
            run_times: ServiceTimes::default(),
            virtual_time: 0.0,
            background_time: 0.0,
            accounted_until: None,
            contended: false,
            stopping: false,
            serial: 0,
            running: 0,
            running_background: 0,
            waiting: 0,
        };
        scheduler.configure(rules);
        scheduler
    }

    /// Replaces the rules. Waiting items keep their positions, also if the new
    /// rules do not name their team or queue.
    pub fn configure(&mut self, rules: PoolRules) {
        self.floor_percent = rules.floor_percent;
        self.urgent_credit = rules.urgent_credit;
        self.bounds = ShareBounds::for_pool(self.slots, self.urgent_credit);
        self.teams.values_mut().for_each(|team| team.listed = false);
        for (id, share) in rules.teams {
            let key = self.team_keys.entry(id.clone()).or_insert_with(|| {
                let mut team = Team::new(id, share);
                team.virtual_time = self.virtual_time;
                team.background_time = self.background_time;
                self.teams.insert(team)
            });
            if let Some(team) = self.teams.get_mut(*key) {
                team.listed = true;
                team.share = share;
            }
        }
        self.queues.values_mut().for_each(|queue| queue.listed = false);
        for (id, rule) in rules.queues {
            let queue = self.queues.entry(id).or_insert_with(|| Queue::new(rule.clone()));
            queue.listed = true;
            queue.rule = rule;
        }
        self.remove_unlisted();
    }

    /// Sets the number of the pool's slots, both used and free.
    pub fn resize(&mut self, slots: Slots) {
        self.slots = slots;
        self.bounds = ShareBounds::for_pool(slots, self.urgent_credit);
    }

    /// Refuses all further offers. Waiting items are still started.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Accepts an item as waiting, or refuses it.
    ///
    /// # Errors
    ///
    /// A [`Refusal`], which is final; the item was not started.
    pub fn offer(&mut self, item: WorkItem, now: Instant) -> Result<Ticket, Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        self.charge_usage(now);
        let team = *self.team_keys.get(&item.team).ok_or(Refusal::NotConfigured)?;
        let start_by = self.admit(&item, team, now)?;
        let order = StartOrder { start_by, serial: self.serial };
        self.serial += 1;
        Ok(self.insert(item, team, order))
    }

    /// Starts the item with the best rank and returns it, or `None` if no item may
    /// start. The caller must have a free slot for it.
    ///
    /// `may_start` returns whether the team has an idle permit. It is called at
    /// most once for each team. An item of the first team for which it returns true
    /// is started, so the function may take the permit at the same time. Teams that
    /// may not start are skipped.
    pub fn start_next(
        &mut self,
        now: Instant,
        mut may_start: impl FnMut(&TeamId) -> bool,
    ) -> Option<(Ticket, WorkItem)> {
        self.charge_usage(now);
        self.refuse_late(now);
        if self.waiting == 0 {
            return None;
        }
        self.rank(now);
        let mut chosen = None;
        let mut candidates = std::mem::take(&mut self.candidates);
        for each in &candidates {
            let Some(team) = self.teams.get_mut(each.team) else { continue };
            if team.asked {
                continue;
            }
            team.asked = true;
            team.no_permit = !may_start(&team.id);
            if !team.no_permit {
                chosen = Some(each.ticket);
                break;
            }
        }
        candidates.clear();
        self.candidates = candidates;
        let started = chosen.and_then(|ticket| self.start(ticket, now));
        self.update_contention();
        started
    }

    /// Records that a running item has ended and its slot is free. Has no effect on
    /// an item that is not running.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        self.charge_usage(now);
        let Some(ItemEntry { state: ItemState::Running(since), .. }) = self.entries.get(ticket)
        else {
            return;
        };
        let run_time = now.saturating_duration_since(*since);
        let Some(entry) = self.entries.remove(ticket) else { return };
        self.running -= 1;
        let background = usize::from(entry.item.class == Class::Background);
        self.running_background -= background;
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.running -= 1;
            team.running_background -= background;
            if let Some(lane) = team.find_lane(&entry.item.queue, entry.item.class) {
                lane.running -= 1;
            }
        }
        self.run_times.record(run_time);
        if let Some(queue) = self.queues.get_mut(&entry.item.queue) {
            queue.run_times.record(run_time);
        }
        self.remove_team_if_unlisted(entry.team);
    }

    /// Removes an item that has not been started, because its sender has gone away.
    /// Returns false if the item is running and has to be finished, or is not
    /// known.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        match self.entries.get(ticket).map(|entry| entry.state) {
            Some(ItemState::Waiting) => {
                self.remove_waiting(ticket);
                self.entries.remove(ticket);
                self.update_contention();
                true
            }
            Some(ItemState::Refused) => {
                self.refused.retain(|(each, _)| *each != ticket);
                self.entries.remove(ticket);
                true
            }
            Some(ItemState::Running(_)) | None => false,
        }
    }

    /// Removes all items that have not been started, and returns their tickets, for
    /// example because the pool has another owner. The caller answers each of them;
    /// refusals that were not fetched are removed too.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let refused = std::mem::take(&mut self.refused);
        let waiting: Vec<Ticket> = self.by_start.iter().map(|(_, ticket)| *ticket).collect();
        waiting.iter().for_each(|ticket| self.remove_waiting(*ticket));
        let removed: Vec<Ticket> =
            refused.into_iter().map(|(ticket, _)| ticket).chain(waiting).collect();
        removed.iter().for_each(|ticket| drop(self.entries.remove(*ticket)));
        self.update_contention();
        removed
    }

    /// Returns the refusals of items that can no longer meet their deadline. Call
    /// this also after each [`Scheduler::start_next`], which may refuse items.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        self.charge_usage(now);
        self.refuse_late(now);
        self.update_contention();
        let refused = std::mem::take(&mut self.refused);
        for (ticket, _) in &refused {
            self.entries.remove(*ticket);
        }
        refused
    }

    /// Returns the time after which [`Scheduler::expire`] has refusals to return, or
    /// `None` if no item waits and no refusal is ready. The time is not in the future
    /// if some refusals are ready.
    pub fn next_expiry(&self) -> Option<Instant> {
        if self.refused.is_empty() {
            self.by_start.first().map(|(start_by, _)| *start_by)
        } else {
            self.accounted_until
        }
    }

    /// Returns the number of waiting items.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of running items.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns counts and usage of the pool and its teams.
    pub fn stats(&self) -> SchedulerStats {
        let teams = self.teams.values().map(|team| TeamStats {
            team: team.id.clone(),
            share: team.share,
            waiting: team.waiting,
            running: team.running,
            used_secs: team.used_secs,
        });
        SchedulerStats {
            waiting: self.waiting,
            running: self.running,
            running_background: self.running_background,
            teams: teams.collect(),
        }
    }

    /// Adds a waiting item.
    fn insert(&mut self, item: WorkItem, team: TeamKey, order: StartOrder) -> Ticket {
        let (queue, class) = (item.queue.clone(), item.class);
        let ticket =
            self.entries.insert(ItemEntry { item, team, order, state: ItemState::Waiting });
        self.by_start.insert((order.start_by, ticket));
        self.waiting += 1;
        if let Some(queue) = self.queues.get_mut(&queue) {
            queue.waiting += 1;
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting += 1;
            team.lane(&queue, class).waiting.insert((order, ticket));
            self.contended |= !team.no_permit;
        }
        ticket
    }

    /// Removes a waiting item from its lane and the other indexes. Its entry stays.
    fn remove_waiting(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get(ticket) else { return };
        self.by_start.remove(&(entry.order.start_by, ticket));
        self.waiting -= 1;
        if let Some(queue) = self.queues.get_mut(&entry.item.queue) {
            queue.waiting -= 1;
        }
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.waiting -= 1;
            if let Some(lane) = team.find_lane(&entry.item.queue, entry.item.class) {
                lane.waiting.remove(&(entry.order, ticket));
            }
        }
    }

    /// Changes a waiting item to running.
    fn start(&mut self, ticket: Ticket, now: Instant) -> Option<(Ticket, WorkItem)> {
        self.remove_waiting(ticket);
        let entry = self.entries.get_mut(ticket)?;
        entry.state = ItemState::Running(now);
        let background = usize::from(entry.item.class == Class::Background);
        self.running += 1;
        self.running_background += background;
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.running += 1;
            team.running_background += background;
            if let Some(lane) = team.find_lane(&entry.item.queue, entry.item.class) {
                lane.running += 1;
            }
        }
        Some((ticket, entry.item.clone()))
    }

    /// Refuses the items that wait past their latest start.
    fn refuse_late(&mut self, now: Instant) {
        while let Some(&(start_by, ticket)) = self.by_start.first() {
            if start_by >= now {
                return;
            }
            self.remove_waiting(ticket);
            let Some(entry) = self.entries.get_mut(ticket) else { continue };
            entry.state = ItemState::Refused;
            let team = entry.team;
            let retry_after =
                self.teams.get(team).map_or(RETRY_AFTER_MIN, |team| self.retry_after(team));
            self.refused.push((ticket, Refusal::CannotMeetDeadline { retry_after }));
        }
    }

    /// Charges the slot time that was used since the last charge to the teams.
    fn charge_usage(&mut self, now: Instant) {
        let since = self.accounted_until.unwrap_or(now);
        let secs = now.saturating_duration_since(since).as_secs_f64();
        self.accounted_until = Some(now.max(since));
        if secs > 0.0 {
            let contended = self.contended;
            self.teams.values_mut().for_each(|team| team.charge(secs, contended));
        }
    }

    /// Updates whether work waits that may start.
    fn update_contention(&mut self) {
        self.contended = self.teams.values().any(|team| team.waiting > 0 && !team.no_permit);
    }

    /// Removes what the rules do not name: teams without work, queues without waiting
    /// items, and idle lanes of removed queues.
    fn remove_unlisted(&mut self) {
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        keys.into_iter().for_each(|key| self.remove_team_if_unlisted(key));
        self.queues.retain(|_, queue| queue.listed || queue.waiting > 0);
        let queues = &self.queues;
        for team in self.teams.values_mut() {
            team.retain_lanes(|queue| queues.contains_key(queue));
        }
    }

    /// Removes a team if the rules do not name it and it has no work.
    fn remove_team_if_unlisted(&mut self, key: TeamKey) {
        let idle = self.teams.get(key).is_some_and(|team| !team.listed && team.is_idle());
        if idle && let Some(team) = self.teams.remove(key) {
            self.team_keys.remove(&team.id);
        }
    }
}
