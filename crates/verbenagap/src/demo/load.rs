//! Generates the load: calls and jobs of all teams on their queues.

use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_conf::{Access, Class, Lists, Queue};

use crate::site::{Answer, CallRequest, Caller, Site};

/// Mean time between two calls of a team to an urgent queue.
const URGENT_INTERVAL: Duration = Duration::from_millis(25);
/// Mean time between two calls of a team to a background queue.
const BACKGROUND_INTERVAL: Duration = Duration::from_millis(40);
/// Factor by which a spike multiplies the rate of calls.
const SPIKE_FACTOR: u32 = 5;
/// Longest deadline of the demo's calls, also on queues that allow more.
const DEADLINE_MAX: Duration = Duration::from_secs(4);

/// Number of jobs that each team submits to each of its queues.
const JOBS_PER_QUEUE: usize = 3;
/// Run time of a job.
const JOB_RUN_TIME: Duration = Duration::from_millis(150);
/// Longest wait for a job to end, in seconds.
const JOB_WAIT_SECS: u64 = 5;

/// A call that was sent, with its answer.
#[derive(Debug, Clone)]
pub(super) struct SentCall {
    /// The queue that the call was sent to.
    pub(super) queue: SmolStr,
    /// The team that sent it.
    pub(super) team: TeamId,
    /// Whether the queue's work may run more than once.
    pub(super) idempotent: bool,
    /// Time from sending until the answer was due.
    pub(super) deadline: Duration,
    /// When the call was sent.
    pub(super) sent_at: Instant,
    /// The body of the call.
    pub(super) body: String,
    /// The answer that the caller got.
    pub(super) answer: Answer,
}

/// All calls that have been answered so far, shared by the streams.
pub(super) type CallLog = Arc<Mutex<Vec<SentCall>>>;

/// One team's stream of calls to one queue.
struct CallStream {
    caller: Arc<Caller>,
    queue: Queue,
    team: TeamId,
    /// When the spike starts, from the start of the load; `None` for no spike.
    spike_start: Option<Duration>,
    rng: SmallRng,
}

/// Starts the load of all teams on their queues for `duration`. Each urgent queue has one
/// spike, and the spikes start one after the other. Returns the running streams and the log of
/// their calls.
pub(super) fn start(
    site: &Site,
    lists: &Lists,
    seed: u64,
    duration: Duration,
) -> (JoinSet<()>, CallLog) {
    let log = CallLog::default();
    let mut streams = JoinSet::new();
    let urgent: Vec<_> = lists.queues.values().filter(|q| q.class == Class::Urgent).collect();
    for (index, queue) in lists.queues.values().enumerate() {
        let spike_index = urgent.iter().position(|each| each.id == queue.id);
        let spike_start = spike_index
            .map(|index| duration.mul_f64((index as f64 + 0.5) / (urgent.len() as f64 + 1.0)));
        for team in teams_of(lists, queue) {
            let stream = CallStream {
                caller: Arc::new(site.caller(&team)),
                queue: queue.clone(),
                rng: SmallRng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(index as u64)),
                team,
                spike_start,
            };
            streams.spawn(stream.run(duration, log.clone()));
        }
    }
    (streams, log)
}

/// A job whose submission was acknowledged.
#[derive(Debug, Clone)]
pub(super) struct AcceptedJob {
    /// The id of the job.
    pub(super) id: String,
    /// Whether the job may run more than once.
    pub(super) idempotent: bool,
    /// The team that submitted it.
    pub(super) team: TeamId,
}

/// Submits [`JOBS_PER_QUEUE`] jobs of each team to each of its queues and returns the
/// acknowledged jobs. The team `withdrawn` is left out, because its key is no longer valid.
pub(super) async fn submit_jobs(
    site: &Site,
    lists: &Lists,
    withdrawn: &TeamId,
) -> Vec<AcceptedJob> {
    let mut tasks = JoinSet::new();
    for queue in lists.queues.values() {
        for team in teams_of(lists, queue).into_iter().filter(|team| team != withdrawn) {
            let caller = site.caller(&team);
            let (queue, idempotent) = (queue.id.clone(), queue.idempotent);
            tasks.spawn(async move {
                let mut jobs = Vec::new();
                for _ in 0..JOBS_PER_QUEUE {
                    let answer = caller.submit(queue.as_str(), JOB_RUN_TIME, None).await;
                    let body: Option<Value> = serde_json::from_slice(&answer.body).ok();
                    let id = body.as_ref().and_then(|body| body["id"].as_str());
                    if let (Some(id), Outcome::Answered) = (id, answer.outcome) {
                        jobs.push(AcceptedJob {
                            id: id.to_owned(),
                            idempotent,
                            team: team.clone(),
                        });
                    }
                }
                jobs
            });
        }
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

/// Waits for the end of each job and returns its final state, or `None` if it did not end
/// in time.
pub(super) async fn await_final_states(site: &Site, jobs: &[AcceptedJob]) -> Vec<Option<String>> {
    let states = jobs.iter().map(|job| {
        let caller = site.caller(&job.team);
        async move {
            let answer = caller.job_status(&job.id, JOB_WAIT_SECS).await;
            let body: Value = serde_json::from_slice(&answer.body).ok()?;
            if body["ended"] != true {
                return None;
            }
            body["state"].as_str().map(str::to_owned)
        }
    });
    futures_util::future::join_all(states).await
}

/// Returns the teams that may use a queue.
fn teams_of(lists: &Lists, queue: &Queue) -> Vec<TeamId> {
    let plans = match &queue.access {
        Access::Open { plan } => std::slice::from_ref(plan),
        Access::Plans(plans) => plans,
    };
    let plans = plans.iter().filter_map(|plan| lists.plans.get(plan));
    plans.map(|plan| plan.team.clone()).collect()
}

impl CallStream {
    /// Sends calls for `duration`, then waits for the answers to all of them.
    async fn run(mut self, duration: Duration, log: CallLog) {
        let started = Instant::now();
        let mut calls = JoinSet::new();
        let mut call_number = 0_u64;
        while started.elapsed() < duration {
            tokio::time::sleep(self.next_interval(started.elapsed())).await;
            call_number += 1;
            calls.spawn(self.send_call(call_number, log.clone()));
        }
        while calls.join_next().await.is_some() {}
    }

    /// Draws the exponentially distributed time until the next call. During the second
    /// after the start of the spike its mean is shorter.
    fn next_interval(&mut self, elapsed: Duration) -> Duration {
        let mean = match self.queue.class {
            Class::Urgent => URGENT_INTERVAL,
            Class::Background => BACKGROUND_INTERVAL,
        };
        let since_spike = self.spike_start.and_then(|start| elapsed.checked_sub(start));
        let spiking = since_spike.is_some_and(|since| since < Duration::from_secs(1));
        let mean = if spiking { mean / SPIKE_FACTOR } else { mean };
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }

    /// Returns a future that sends a call and logs its answer. Half of the calls have an
    /// idempotency key.
    fn send_call(
        &mut self,
        call_number: u64,
        log: CallLog,
    ) -> impl Future<Output = ()> + Send + use<> {
        let deadline = self.queue.deadline.min(DEADLINE_MAX);
        let body = format!("{}/{}/{call_number}", self.queue.id, self.team);
        let has_key = self.rng.random_bool(0.5);
        let mut call = CallRequest::new(self.queue.id.as_str(), body.as_bytes(), deadline);
        if has_key {
            call = call.with_idempotency_key(&body);
        }
        let (caller, team, queue) = (Arc::clone(&self.caller), self.team.clone(), &self.queue);
        let (queue, idempotent) = (SmolStr::new(queue.id.as_str()), queue.idempotent);
        async move {
            let sent_at = Instant::now();
            let answer = caller.call(&call).await;
            let sent = SentCall { queue, team, idempotent, deadline, sent_at, body, answer };
            log.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
        }
    }
}
