//! An adviser that handles one query at a time, in turn, also those that were given up.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;
use vg_call::{CallKey, Failure, Permit};
use vg_flow::{AdviserAnswer, AdviserTiming, StepId};

use super::spec::queue;
use super::world::World;

/// Queries that may wait; further ones are refused.
const MAX_WAITING: usize = 32;

/// A query, and when its caller gives it up.
#[derive(Debug)]
struct Query {
    call: CallKey,
    step: StepId,
    workers: Vec<HostId>,
    /// `None` once it has been given up.
    until: Option<u64>,
    /// The leader that asks, by its token.
    leader: u64,
}

/// The adviser, and what it has been asked.
#[derive(Debug)]
pub(crate) struct SimulatedAdviser {
    timing: AdviserTiming,
    /// How many times as long as it states it takes.
    pub(crate) slowness: u32,
    /// Answers that are lost, in thousandths.
    pub(crate) lost: u32,
    line: VecDeque<Query>,
    /// When it is done with the first query of the line.
    done_at: Option<u64>,
    /// Ends of tickets.
    tickets: HashMap<SmolStr, u64>,
    /// Queries that were given up before they were handled, and all that were handled.
    pub(crate) in_vain: usize,
    pub(crate) handled: usize,
}

/// Whether the adviser permits a worker to run a step: two thirds of them may.
fn is_permitted(step: StepId, worker: &HostId) -> bool {
    let text = format!("{step} {worker}");
    text.bytes().fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())) % 3 > 0
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Makes the steps of both queues need the adviser.
    pub(crate) fn add_adviser(&mut self, timing: AdviserTiming) {
        let mut config = vg_flow::OperatorConfig::clone(&self.config);
        for name in ["q-a", "q-b"] {
            config.queue_mut(&queue(name)).unwrap().adviser = Some(timing);
        }
        self.config = std::sync::Arc::new(config);
        self.scheduler.set_config(std::sync::Arc::clone(&self.config));
        self.adviser = Some(SimulatedAdviser {
            timing,
            slowness: 1,
            lost: 0,
            line: VecDeque::new(),
            done_at: None,
            tickets: HashMap::new(),
            in_vain: 0,
            handled: 0,
        });
    }

    /// Puts a query in the line.
    pub(super) fn send_query(&mut self, step: StepId, workers: Vec<HostId>, permit: &Permit) {
        let (now, ms, leader) = (self.now(), self.ms, self.scheduler.token().0);
        let Some(adviser) = &mut self.adviser else { return };
        if adviser.line.len() > MAX_WAITING {
            let answer = Err(Failure::Refused);
            self.scheduler.adviser_answered(step, permit.key(), &workers, answer, now);
            return;
        }
        let until = Some(ms + permit.timeout().as_millis() as u64);
        adviser.line.push_back(Query { call: permit.key(), step, workers, until, leader });
    }

    /// Handles the line: queries that are given up, and the first one if it is done.
    pub(super) fn advance_adviser(&mut self) {
        let (now, ms, leader) = (self.now(), self.ms, self.scheduler.token().0);
        let lost = self.adviser.as_ref().map_or(0, |adviser| adviser.lost);
        let is_lost = self.chance(lost);
        let Some(adviser) = &mut self.adviser else { return };
        for query in &mut adviser.line {
            if query.until.take_if(|until| *until <= ms).is_some() && query.leader == leader {
                let answer = Err(Failure::Unanswered);
                self.scheduler.adviser_answered(
                    query.step,
                    query.call,
                    &query.workers,
                    answer,
                    now,
                );
            }
        }
        if adviser.done_at.is_some_and(|at| at <= ms) {
            adviser.done_at = None;
            adviser.handled += 1;
            let query = adviser.line.pop_front().unwrap();
            if query.until.is_none() {
                adviser.in_vain += 1;
            } else if query.leader == leader && !is_lost {
                let answer = adviser.answer(&query, ms);
                let answer = Ok(&answer);
                self.scheduler.adviser_answered(
                    query.step,
                    query.call,
                    &query.workers,
                    answer,
                    now,
                );
            }
        }
        if adviser.done_at.is_none()
            && let Some(query) = adviser.line.front()
        {
            let cost = adviser.timing.cost(query.workers.len()) * adviser.slowness;
            adviser.done_at = Some(ms + cost.as_millis() as u64);
        }
    }

    /// Whether the ticket of a start is valid.
    pub(super) fn is_ticket_valid(&self, ticket: &SmolStr) -> bool {
        let Some(adviser) = &self.adviser else { return true };
        adviser.tickets.get(ticket).is_some_and(|&until| self.ms < until)
    }
}

impl SimulatedAdviser {
    fn answer(&mut self, query: &Query, ms: u64) -> AdviserAnswer {
        let permitted = query.workers.iter().filter(|worker| is_permitted(query.step, worker));
        let ticket = |worker: &HostId| {
            let ticket = SmolStr::from(format!("{} {worker} {ms}", query.step));
            (worker.clone(), ticket)
        };
        let permitted: Vec<_> = permitted.map(ticket).collect();
        let until = ms + self.timing.validity.as_millis() as u64;
        self.tickets.extend(permitted.iter().map(|(_, ticket)| (ticket.clone(), until)));
        AdviserAnswer { permitted, valid_for: self.timing.validity }
    }
}
