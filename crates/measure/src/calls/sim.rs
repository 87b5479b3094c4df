//! Discrete events over one pool: arrivals, ends of calls, and time steps.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use vg_base::prelude::*;
use vg_conf::Class;

use super::policy::Policy;
use super::site::Site;
use super::tally::Tally;
use super::trace::{Call, Trace};

/// Time between two looks at shares and refusals.
const STEP: Duration = Duration::from_millis(10);

/// One run of a trace under a policy.
pub(crate) struct Sim<'a, P> {
    trace: &'a Trace,
    policy: P,
    start: Instant,
    free: usize,
    slots: usize,
    ends: BinaryHeap<Reverse<(Instant, usize)>>,
    running: Vec<f64>,
    waiting: Vec<f64>,
    tally: Tally,
}

impl<'a, P: Policy> Sim<'a, P> {
    pub(crate) fn new(site: &Site, trace: &'a Trace, policy: P) -> Sim<'a, P> {
        let zero = vec![0.0; site.teams.len()];
        Sim {
            trace,
            policy,
            start: Instant::now(),
            free: site.slots(),
            slots: site.slots(),
            ends: BinaryHeap::new(),
            running: zero.clone(),
            waiting: zero,
            tally: Tally::new(site),
        }
    }

    /// Runs until every call of the trace has ended and returns what was counted.
    pub(crate) fn run(mut self) -> Tally {
        let mut step = self.start + STEP;
        let end = self.start + self.trace.length;
        let mut coming = 0;
        while step <= end || self.is_busy() {
            let arrival = self.trace.calls.get(coming).map(|call| self.start + call.at);
            let finish = self.ends.peek().map(|Reverse((at, _))| *at);
            let next = [arrival, finish].into_iter().flatten().min().unwrap_or(step);
            if next >= step {
                self.look(step, step <= end);
                step += STEP;
            } else if Some(next) == finish {
                self.finish(next);
            } else {
                self.arrive(coming, next);
                coming += 1;
            }
        }
        self.tally
    }

    fn arrive(&mut self, id: usize, now: Instant) {
        let call = self.trace.calls[id].clone();
        self.count(&call).sent += 1;
        if call.class == Class::Urgent {
            self.tally.urgent_teams[call.team].sent += 1;
        }
        // The trace without background work keeps its calls' numbers.
        let call = Call { id, ..call };
        if self.policy.offer(&call, now) {
            self.waiting[call.team] += 1.0;
            self.fill(now);
        } else {
            self.tally.refused_early += 1;
        }
    }

    fn finish(&mut self, now: Instant) {
        let Some(Reverse((_, id))) = self.ends.pop() else { return };
        let call = Call { id, ..self.trace.calls[id].clone() };
        self.free += 1;
        self.running[call.team] -= 1.0;
        self.policy.finish(&call, now);
        self.tally.spent += call.service.as_secs_f64();
        if now <= self.start + call.at + call.deadline {
            self.count(&call).on_time += 1;
            self.tally.useful += call.service.as_secs_f64();
            if call.class == Class::Urgent {
                self.tally.urgent_teams[call.team].on_time += 1;
                self.tally.urgent_on_time.insert((call.at, call.team, call.queue));
            }
        } else {
            self.tally.late += 1;
        }
        self.fill(now);
    }

    fn fill(&mut self, now: Instant) {
        while self.free > 0 {
            let Some(id) = self.policy.next(now) else { break };
            let call = &self.trace.calls[id];
            self.free -= 1;
            self.waiting[call.team] -= 1.0;
            self.running[call.team] += 1.0;
            self.ends.push(Reverse((now + call.service, id)));
        }
        self.refuse(now);
    }

    fn refuse(&mut self, now: Instant) {
        for id in self.policy.expire(now) {
            self.waiting[self.trace.calls[id].team] -= 1.0;
            self.tally.refused_waiting += 1;
        }
    }

    fn look(&mut self, now: Instant, loaded: bool) {
        self.refuse(now);
        if !loaded {
            return;
        }
        let wants: Vec<f64> = self.running.iter().zip(&self.waiting).map(|(a, b)| a + b).collect();
        if self.waiting.iter().sum::<f64>() > 0.0 {
            self.tally.busy += (self.slots - self.free) as f64;
            self.tally.offered += self.slots as f64;
        }
        self.tally.errors.step(&self.running, &wants);
    }

    fn is_busy(&self) -> bool {
        !self.ends.is_empty() || self.waiting.iter().sum::<f64>() > 0.0
    }

    fn count(&mut self, call: &Call) -> &mut super::tally::Count {
        match call.class {
            Class::Urgent => &mut self.tally.urgent,
            Class::Background => &mut self.tally.background,
        }
    }
}
