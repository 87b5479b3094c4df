//! Discrete event simulation of one pool: arrivals, ends of calls, and samples at regular
//! times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use vg_base::prelude::*;
use vg_conf::Class;

use super::policy::Policy;
use super::site::Site;
use super::tally::Tally;
use super::trace::{Call, Trace};

/// Time between two samples of shares and refusals.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// A run of a trace under a policy.
pub(crate) struct Simulation<'a, P> {
    trace: &'a Trace,
    policy: P,
    start: Instant,
    /// Number of free slots.
    free: usize,
    slots: usize,
    /// End and index of each running call.
    ends: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Number of running calls by team.
    running: Vec<f64>,
    /// Number of waiting calls by team.
    waiting: Vec<f64>,
    tally: Tally,
}

impl<'a, P: Policy> Simulation<'a, P> {
    /// Returns a run in which nothing has happened yet.
    pub(crate) fn new(site: &Site, trace: &'a Trace, policy: P) -> Simulation<'a, P> {
        let zero = vec![0.0; site.teams.len()];
        Simulation {
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

    /// Runs until every call of the trace has ended, and returns the figures.
    pub(crate) fn run(mut self) -> Tally {
        let mut next_sample = self.start + SAMPLE_PERIOD;
        let end = self.start + self.trace.length;
        let mut next_call = 0;
        while next_sample <= end || self.is_busy() {
            let arrival = self.trace.calls.get(next_call).map(|call| self.start + call.arrival);
            let finish = self.ends.peek().map(|Reverse((at, _))| *at);
            let next = [arrival, finish].into_iter().flatten().min().unwrap_or(next_sample);
            if next >= next_sample {
                self.sample(next_sample, next_sample <= end);
                next_sample += SAMPLE_PERIOD;
            } else if Some(next) == finish {
                self.finish(next);
            } else {
                self.arrive(next_call, next);
                next_call += 1;
            }
        }
        self.tally
    }

    /// Offers a call to the policy.
    fn arrive(&mut self, id: usize, now: Instant) {
        let call = self.trace.calls[id].clone();
        self.class_count(&call).sent += 1;
        if call.class == Class::Urgent {
            self.tally.urgent_teams[call.team].sent += 1;
        }
        // In a trace without background calls, the stored id is the index in the complete trace.
        let call = Call { id, ..call };
        if self.policy.offer(&call, now) {
            self.waiting[call.team] += 1.0;
            self.start_calls(now);
        } else {
            self.tally.refused_on_arrival += 1;
        }
    }

    /// Ends the call that is due first.
    fn finish(&mut self, now: Instant) {
        let Some(Reverse((_, id))) = self.ends.pop() else { return };
        let call = Call { id, ..self.trace.calls[id].clone() };
        self.free += 1;
        self.running[call.team] -= 1.0;
        self.policy.finish(&call, now);
        self.tally.spent_time += call.service.as_secs_f64();
        if now <= self.start + call.arrival + call.deadline {
            self.class_count(&call).on_time += 1;
            self.tally.useful_time += call.service.as_secs_f64();
            if call.class == Class::Urgent {
                self.tally.urgent_teams[call.team].on_time += 1;
                self.tally.urgent_on_time.insert((call.arrival, call.team, call.queue));
            }
        } else {
            self.tally.late += 1;
        }
        self.start_calls(now);
    }

    /// Starts waiting calls while slots are free.
    fn start_calls(&mut self, now: Instant) {
        while self.free > 0 {
            let Some(id) = self.policy.start_next(now) else { break };
            let call = &self.trace.calls[id];
            self.free -= 1;
            self.waiting[call.team] -= 1.0;
            self.running[call.team] += 1.0;
            self.ends.push(Reverse((now + call.service, id)));
        }
        self.count_expired(now);
    }

    /// Counts the waiting calls that the policy refuses.
    fn count_expired(&mut self, now: Instant) {
        for id in self.policy.expire(now) {
            self.waiting[self.trace.calls[id].team] -= 1.0;
            self.tally.refused_waiting += 1;
        }
    }

    /// Counts the refused calls, and records the shares and the use of slots if `in_trace` is
    /// true.
    fn sample(&mut self, now: Instant, in_trace: bool) {
        self.count_expired(now);
        if !in_trace {
            return;
        }
        let wants: Vec<f64> = self.running.iter().zip(&self.waiting).map(|(a, b)| a + b).collect();
        if self.waiting.iter().sum::<f64>() > 0.0 {
            self.tally.used_slots += (self.slots - self.free) as f64;
            self.tally.total_slots += self.slots as f64;
        }
        self.tally.errors.step(&self.running, &wants);
    }

    /// Whether calls are running or waiting.
    fn is_busy(&self) -> bool {
        !self.ends.is_empty() || self.waiting.iter().sum::<f64>() > 0.0
    }

    /// Returns the counts of the call's class.
    fn class_count(&mut self, call: &Call) -> &mut super::tally::Count {
        match call.class {
            Class::Urgent => &mut self.tally.urgent,
            Class::Background => &mut self.tally.background,
        }
    }
}
