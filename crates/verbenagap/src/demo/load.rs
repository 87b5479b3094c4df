//! Load of all teams on their queues.

use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_conf::{Access, Class, Lists, Queue};

use crate::site::{Answer, CallRequest, Caller, Site};

/// Mean time between two calls of a team to an urgent queue.
const URGENT_GAP: Duration = Duration::from_millis(25);
/// Mean time between two calls of a team to a background queue.
const BACKGROUND_GAP: Duration = Duration::from_millis(40);
/// A spike multiplies the load by this.
const SPIKE: u32 = 5;
/// Longest time that the demo's calls are given.
const DEADLINE_MAX: Duration = Duration::from_secs(4);

/// Jobs that each team sends to each of its queues.
const JOBS_EACH: usize = 3;
/// How long a job runs.
const JOB_TIME: Duration = Duration::from_millis(150);
/// Longest wait for a job's end, in seconds.
const JOB_WAIT_SECS: u64 = 5;

/// A call with what its caller was told.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    /// The queue.
    pub(super) queue: SmolStr,
    /// The team.
    pub(super) team: TeamId,
    /// Whether the queue's work may run more than once.
    pub(super) idempotent: bool,
    /// Time that the call was given.
    pub(super) deadline: Duration,
    /// When it was sent.
    pub(super) at: Instant,
    /// The body.
    pub(super) body: String,
    /// What the caller was told.
    pub(super) answer: Answer,
}

/// All calls sent so far.
pub(super) type SentLog = Arc<Mutex<Vec<Sent>>>;

/// A team's stream of calls to one queue.
struct Stream {
    caller: Arc<Caller>,
    queue: Queue,
    team: TeamId,
    spike: Option<Duration>,
    rng: SmallRng,
}

/// Starts the load of all teams on their queues for `time`. Each urgent queue
/// in turn has a spike.
pub(super) fn start(
    site: &Site,
    lists: &Lists,
    seed: u64,
    time: Duration,
) -> (JoinSet<()>, SentLog) {
    let log = SentLog::default();
    let mut streams = JoinSet::new();
    let urgent: Vec<_> = lists.queues.values().filter(|q| q.class == Class::Urgent).collect();
    for (at, queue) in lists.queues.values().enumerate() {
        let turn = urgent.iter().position(|each| each.id == queue.id);
        let spike =
            turn.map(|turn| time.mul_f64((turn as f64 + 0.5) / (urgent.len() as f64 + 1.0)));
        for team in teams_of(lists, queue) {
            let stream = Stream {
                caller: Arc::new(site.caller(&team)),
                queue: queue.clone(),
                rng: SmallRng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(at as u64)),
                team,
                spike,
            };
            streams.spawn(stream.run(time, log.clone()));
        }
    }
    (streams, log)
}

/// A job that was acknowledged.
#[derive(Debug, Clone)]
pub(super) struct SentJob {
    /// Its id.
    pub(super) id: String,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The team.
    pub(super) team: TeamId,
}

/// Submits a few jobs of each team to each of its queues; returns those that
/// were acknowledged. Teams in `without` have no key any more.
pub(super) async fn submit_jobs(site: &Site, lists: &Lists, without: &TeamId) -> Vec<SentJob> {
    let mut tasks = JoinSet::new();
    for queue in lists.queues.values() {
        for team in teams_of(lists, queue).into_iter().filter(|team| team != without) {
            let caller = site.caller(&team);
            let (queue, idempotent) = (queue.id.clone(), queue.idempotent);
            tasks.spawn(async move {
                let mut jobs = Vec::new();
                for _ in 0..JOBS_EACH {
                    let answer = caller.submit(queue.as_str(), JOB_TIME, None).await;
                    let told: Option<Value> = serde_json::from_slice(&answer.body).ok();
                    let id = told.as_ref().and_then(|told| told["id"].as_str());
                    if let (Some(id), Outcome::Answered) = (id, answer.outcome) {
                        jobs.push(SentJob { id: id.to_owned(), idempotent, team: team.clone() });
                    }
                }
                jobs
            });
        }
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

/// Asks for the end of each job; returns the states of those that have ended.
pub(super) async fn await_jobs(site: &Site, jobs: &[SentJob]) -> Vec<Option<String>> {
    let asked = jobs.iter().map(|job| {
        let caller = site.caller(&job.team);
        async move {
            let answer = caller.job(&job.id, JOB_WAIT_SECS).await;
            let told: Value = serde_json::from_slice(&answer.body).ok()?;
            if told["ended"] != true {
                return None;
            }
            told["state"].as_str().map(str::to_owned)
        }
    });
    futures_util::future::join_all(asked).await
}

fn teams_of(lists: &Lists, queue: &Queue) -> Vec<TeamId> {
    let plans = match &queue.access {
        Access::Open { plan } => std::slice::from_ref(plan),
        Access::Plans(plans) => plans,
    };
    let plans = plans.iter().filter_map(|plan| lists.plans.get(plan));
    plans.map(|plan| plan.team.clone()).collect()
}

impl Stream {
    async fn run(mut self, time: Duration, log: SentLog) {
        let began = Instant::now();
        let mut calls = JoinSet::new();
        let mut serial = 0_u64;
        while began.elapsed() < time {
            tokio::time::sleep(self.gap(began.elapsed())).await;
            serial += 1;
            calls.spawn(self.call(serial, log.clone()));
        }
        while calls.join_next().await.is_some() {}
    }

    /// Returns an exponentially distributed pause.
    fn gap(&mut self, elapsed: Duration) -> Duration {
        let mean = match self.queue.class {
            Class::Urgent => URGENT_GAP,
            Class::Background => BACKGROUND_GAP,
        };
        let since = self.spike.and_then(|spike| elapsed.checked_sub(spike));
        let spiking = since.is_some_and(|since| since < Duration::from_secs(1));
        let mean = if spiking { mean / SPIKE } else { mean };
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }

    fn call(&mut self, serial: u64, log: SentLog) -> impl Future<Output = ()> + Send + use<> {
        let deadline = self.queue.deadline.min(DEADLINE_MAX);
        let body = format!("{}/{}/{serial}", self.queue.id, self.team);
        let keyed = self.rng.random_bool(0.5);
        let mut call = CallRequest::new(self.queue.id.as_str(), body.as_bytes(), deadline);
        if keyed {
            call = call.with_key(&body);
        }
        let (caller, team, queue) = (Arc::clone(&self.caller), self.team.clone(), &self.queue);
        let (queue, idempotent) = (SmolStr::new(queue.id.as_str()), queue.idempotent);
        async move {
            let at = Instant::now();
            let answer = caller.call(&call).await;
            let sent = Sent { queue, team, idempotent, deadline, at, body, answer };
            log.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
        }
    }
}
