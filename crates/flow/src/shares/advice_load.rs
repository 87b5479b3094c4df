//! How long steps of a new job would wait for the adviser.
//!
//! Load that this module handles: more steps need the adviser than it can answer, for
//! longer than a burst. Its queries are then a capacity like that of a pool: a job whose
//! first step would be answered too late to have value is rejected before it is accepted.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::jobs::job::Job;
use crate::placement::plan::rank_input;
use crate::{Scheduler, Timeliness, rank};

/// Shorter waits are not reported.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Waits for the adviser of a new job of one queue, in milliseconds. They are lower bounds:
/// only queries for steps that wait now are counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueAdvice {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueId,
    /// Queries in flight, and those that go before those of an on-time job.
    #[serde(rename = "n")]
    pub on_time_ms: u32,
    /// These, and queries that go before those of a late job.
    #[serde(rename = "l")]
    pub late_ms: u32,
    /// A query of the job itself.
    #[serde(rename = "o")]
    pub own_ms: u32,
}

/// Time that waiting queries take the adviser, by urgency.
#[derive(Debug, Default)]
struct Queries(BTreeMap<(Timeliness, u32), Duration>);

impl Queries {
    fn add(&mut self, timeliness: Timeliness, priority: u32, time: Duration) {
        *self.0.entry((timeliness, priority)).or_default() += time;
    }

    /// Returns the time of those that go before a job of this urgency.
    fn before(&self, timeliness: Timeliness, priority: u32) -> Duration {
        self.0.range(..=(timeliness, priority)).map(|(_, time)| *time).sum()
    }
}

impl Scheduler {
    /// Returns the waits for the adviser of the queues that need it, if they are long.
    pub(crate) fn advice_load(&self, now: Instant, wall: SystemTime) -> Vec<QueueAdvice> {
        let advised = self.config.present_queues().filter(|(_, queue)| queue.adviser.is_some());
        let advised: HashMap<_, _> = advised.collect();
        if advised.is_empty() {
            return Vec::new();
        }
        let (queries, in_flight) = (self.waiting_queries(wall), self.query_backlog(now));
        let loads = advised.into_iter().filter_map(|(id, queue)| {
            let late = in_flight + queries.before(Timeliness::Late, queue.priority);
            let on_time = in_flight + queries.before(Timeliness::OnTime, queue.priority);
            (late >= MIN_WAIT).then(|| QueueAdvice {
                queue: id.clone(),
                on_time_ms: on_time.as_millis() as u32,
                late_ms: late.as_millis() as u32,
                own_ms: self.query_time(id).as_millis() as u32,
            })
        });
        loads.collect()
    }

    /// Returns the queries that open jobs need now: one for each step that waits and has had
    /// no answer.
    fn waiting_queries(&self, wall: SystemTime) -> Queries {
        let mut queries = Queries::default();
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.is_open()) {
            let steps = unanswered_steps(job);
            if steps == 0 || !self.needs_adviser(key) {
                continue;
            }
            let Some(queue) = self.config.queue_of(&job.spec) else { continue };
            let mean_work = self.queue_work.mean(&job.spec.queue).unwrap_or(job.work);
            let rank = rank(&rank_input(job, queue, mean_work, wall));
            let time = self.query_time(&job.spec.queue) * steps as u32;
            queries.add(rank.timeliness, rank.priority, time);
        }
        queries
    }
}

fn unanswered_steps(job: &Job) -> usize {
    let waits = |ready: &crate::jobs::occurrence::ReadyStep<'_>| {
        !ready.step.waiting.is_empty() && ready.step.tickets.is_unanswered()
    };
    job.ready_steps().filter(waits).count()
}
