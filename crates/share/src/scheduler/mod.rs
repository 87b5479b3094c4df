//! The scheduler of one pool.

mod admit;
mod rank;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;
use vg_base::prelude::*;
use vg_conf::Class;

use crate::choice::Candidate;
use crate::credit::Credit;
use crate::entry::{Entry, State};
use crate::lane::Order;
use crate::queue::Queue;
use crate::team::{Team, TeamKey};
use crate::{PoolRules, Refusal, SchedulerStats, ServiceTimes, TeamStats, Ticket, WorkItem};

use admit::RETRY_MIN;

/// Orders the waiting work of one pool.
///
/// A decision costs a pass over the teams that have work, and a logarithm of
/// the number of waiting items.
#[derive(Debug)]
pub struct Scheduler {
    floor_percent: u32,
    slots: Slots,
    urgent_credit: Duration,
    credit: Credit,
    teams: SlotMap<TeamKey, Team>,
    names: BTreeMap<TeamId, TeamKey>,
    queues: BTreeMap<QueueId, Queue>,
    entries: SlotMap<Ticket, Entry>,
    expiry: BTreeSet<(Instant, Ticket)>,
    refused: Vec<(Ticket, Refusal)>,
    candidates: Vec<Candidate>,
    service: ServiceTimes,
    /// The pool's virtual clock: the least position of a team that waits.
    clock: f64,
    /// The same for background work.
    floor: f64,
    /// Up to when slot time has been accounted for.
    accrued: Option<Instant>,
    contended: bool,
    stopping: bool,
    serial: u64,
    running: usize,
    background: usize,
    waiting: usize,
}

impl Scheduler {
    /// Makes a scheduler for a pool that has no slots yet.
    pub fn new(rules: PoolRules) -> Scheduler {
        let mut scheduler = Scheduler {
            floor_percent: 0,
            slots: Slots::ZERO,
            urgent_credit: Duration::ZERO,
            credit: Credit::of_pool(Slots::ZERO, Duration::ZERO),
            teams: SlotMap::with_key(),
            names: BTreeMap::new(),
            queues: BTreeMap::new(),
            entries: SlotMap::with_key(),
            expiry: BTreeSet::new(),
            refused: Vec::new(),
            candidates: Vec::new(),
            service: ServiceTimes::default(),
            clock: 0.0,
            floor: 0.0,
            accrued: None,
            contended: false,
            stopping: false,
            serial: 0,
            running: 0,
            background: 0,
            waiting: 0,
        };
        scheduler.configure(rules);
        scheduler
    }

    /// Puts other rules in force. What waits keeps its place, also where its
    /// team or queue is no longer named.
    pub fn configure(&mut self, rules: PoolRules) {
        self.floor_percent = rules.floor_percent;
        self.urgent_credit = rules.urgent_credit;
        self.credit = Credit::of_pool(self.slots, self.urgent_credit);
        self.teams.values_mut().for_each(|team| team.listed = false);
        for (id, share) in rules.teams {
            let key = self.names.entry(id.clone()).or_insert_with(|| {
                let mut team = Team::new(id, share);
                team.clock = self.clock;
                team.floor = self.floor;
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
        self.forget_unlisted();
    }

    /// Sets the number of the pool's slots that are in use or free.
    pub fn resize(&mut self, slots: Slots) {
        self.slots = slots;
        self.credit = Credit::of_pool(slots, self.urgent_credit);
    }

    /// Refuses all further offers. What waits is still served.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes in an item, or refuses it for good.
    pub fn offer(&mut self, item: WorkItem, now: Instant) -> Result<Ticket, Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        self.advance(now);
        let team = *self.names.get(&item.team).ok_or(Refusal::NotConfigured)?;
        let start_by = self.admit(&item, team, now)?;
        let order = Order { start_by, serial: self.serial };
        self.serial += 1;
        Ok(self.insert(item, team, order))
    }

    /// Gives a free slot to the item whose turn it is.
    ///
    /// `may_start` tells if the team has units left, and is asked at most once
    /// for a team; the last team for which it says yes is the one whose item
    /// is returned, so that it may take the unit in the same step. A team that
    /// may not start is passed over.
    pub fn start_next(
        &mut self,
        now: Instant,
        mut may_start: impl FnMut(&TeamId) -> bool,
    ) -> Option<(Ticket, WorkItem)> {
        self.advance(now);
        self.sweep(now);
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
            team.blocked = !may_start(&team.id);
            if !team.blocked {
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

    /// Ends a running item: its slot is free again.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        self.advance(now);
        let Some(Entry { state: State::Running(since), .. }) = self.entries.get(ticket) else {
            return;
        };
        let taken = now.saturating_duration_since(*since);
        let Some(entry) = self.entries.remove(ticket) else { return };
        self.running -= 1;
        let background = usize::from(entry.item.class == Class::Background);
        self.background -= background;
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.running -= 1;
            team.background -= background;
            if let Some(lane) = team.find(&entry.item.queue, entry.item.class) {
                lane.running -= 1;
            }
        }
        self.service.record(taken);
        if let Some(queue) = self.queues.get_mut(&entry.item.queue) {
            queue.service.record(taken);
        }
        self.forget_if_unlisted(entry.team);
    }

    /// Takes back an item that waits, since its sender went away. Returns
    /// whether it was still waiting: a running item has to be finished.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        match self.entries.get(ticket).map(|entry| entry.state) {
            Some(State::Waiting) => {
                self.withdraw(ticket);
                self.entries.remove(ticket);
                self.update_contention();
                true
            }
            Some(State::Refused) => {
                self.refused.retain(|(each, _)| *each != ticket);
                self.entries.remove(ticket);
                true
            }
            Some(State::Running(_)) | None => false,
        }
    }

    /// Takes back everything that waits, for instance because the pool has
    /// another owner now. None of it was started, and all of it has its final
    /// answer by this.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let refused = std::mem::take(&mut self.refused);
        let waiting: Vec<Ticket> = self.expiry.iter().map(|(_, ticket)| *ticket).collect();
        waiting.iter().for_each(|ticket| self.withdraw(*ticket));
        let drained: Vec<Ticket> =
            refused.into_iter().map(|(ticket, _)| ticket).chain(waiting).collect();
        drained.iter().for_each(|ticket| drop(self.entries.remove(*ticket)));
        self.update_contention();
        drained
    }

    /// Returns the final answers of items that can't meet their deadline any
    /// more. Call it after each [`Scheduler::start_next`] too, which may find some.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        self.advance(now);
        self.sweep(now);
        self.update_contention();
        let refused = std::mem::take(&mut self.refused);
        for (ticket, _) in &refused {
            self.entries.remove(*ticket);
        }
        refused
    }

    /// Returns when [`Scheduler::expire`] next has something to say.
    pub fn next_expiry(&self) -> Option<Instant> {
        if self.refused.is_empty() {
            self.expiry.first().map(|(start_by, _)| *start_by)
        } else {
            self.accrued
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

    /// Returns a summary of the state.
    pub fn stats(&self) -> SchedulerStats {
        let teams = self.teams.values().map(|team| TeamStats {
            team: team.id.clone(),
            share: team.share,
            waiting: team.waiting,
            running: team.running,
            used: team.used,
        });
        SchedulerStats {
            waiting: self.waiting,
            running: self.running,
            background: self.background,
            teams: teams.collect(),
        }
    }

    fn insert(&mut self, item: WorkItem, team: TeamKey, order: Order) -> Ticket {
        let (queue, class) = (item.queue.clone(), item.class);
        let ticket = self.entries.insert(Entry { item, team, order, state: State::Waiting });
        self.expiry.insert((order.start_by, ticket));
        self.waiting += 1;
        if let Some(queue) = self.queues.get_mut(&queue) {
            queue.waiting += 1;
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting += 1;
            team.lane(&queue, class).waiting.insert((order, ticket));
            self.contended |= !team.blocked;
        }
        ticket
    }

    /// Removes a waiting item from all orders; its entry stays.
    fn withdraw(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get(ticket) else { return };
        self.expiry.remove(&(entry.order.start_by, ticket));
        self.waiting -= 1;
        if let Some(queue) = self.queues.get_mut(&entry.item.queue) {
            queue.waiting -= 1;
        }
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.waiting -= 1;
            if let Some(lane) = team.find(&entry.item.queue, entry.item.class) {
                lane.waiting.remove(&(entry.order, ticket));
            }
        }
    }

    fn start(&mut self, ticket: Ticket, now: Instant) -> Option<(Ticket, WorkItem)> {
        self.withdraw(ticket);
        let entry = self.entries.get_mut(ticket)?;
        entry.state = State::Running(now);
        let background = usize::from(entry.item.class == Class::Background);
        self.running += 1;
        self.background += background;
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.running += 1;
            team.background += background;
            if let Some(lane) = team.find(&entry.item.queue, entry.item.class) {
                lane.running += 1;
            }
        }
        Some((ticket, entry.item.clone()))
    }

    /// Refuses what waits past its latest start.
    fn sweep(&mut self, now: Instant) {
        while let Some(&(start_by, ticket)) = self.expiry.first() {
            if start_by >= now {
                return;
            }
            self.withdraw(ticket);
            let Some(entry) = self.entries.get_mut(ticket) else { continue };
            entry.state = State::Refused;
            let team = entry.team;
            let retry_after = self.teams.get(team).map_or(RETRY_MIN, |team| self.retry_after(team));
            self.refused.push((ticket, Refusal::CannotMeetDeadline { retry_after }));
        }
    }

    /// Accounts for the slot time used since the last call.
    fn advance(&mut self, now: Instant) {
        let since = self.accrued.unwrap_or(now);
        let secs = now.saturating_duration_since(since).as_secs_f64();
        self.accrued = Some(now.max(since));
        if secs > 0.0 {
            let contended = self.contended;
            self.teams.values_mut().for_each(|team| team.accrue(secs, contended));
        }
    }

    fn update_contention(&mut self) {
        self.contended = self.teams.values().any(|team| team.waiting > 0 && !team.blocked);
    }

    fn forget_unlisted(&mut self) {
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        keys.into_iter().for_each(|key| self.forget_if_unlisted(key));
        self.queues.retain(|_, queue| queue.listed || queue.waiting > 0);
        let queues = &self.queues;
        for team in self.teams.values_mut() {
            team.retain_lanes(|queue| queues.contains_key(queue));
        }
    }

    fn forget_if_unlisted(&mut self, key: TeamKey) {
        let idle = self.teams.get(key).is_some_and(|team| !team.listed && team.is_idle());
        if idle && let Some(team) = self.teams.remove(key) {
            self.names.remove(&team.id);
        }
    }
}
