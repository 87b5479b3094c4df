//! Requests about jobs, at any entry host and at the pool's owner.

use std::sync::Arc;

use tokio::sync::oneshot;
use vg_base::prelude::*;
use vg_conf::{Access, KeyDigest, Lists};
use vg_events::{Code, Field};
use vg_jobs::{CancelOutcome, Durability, JobSpec, Now, SubmitError, SubmitOutcome};

use crate::admit::admit_digest;
use crate::jobs::pool::Settled;
use crate::jobs::{JobReply, JobRequest, JobVerb, JobView, PoolJobs};
use crate::membership::{Peer, PoolOwner};
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};

/// Longest wait for a job to become durable.
const DURABLE_TIME: Duration = Duration::from_secs(5);
/// Longest wait for a job's end in one request.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time beyond the owner's own limits for its answer.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Longest answer of an owner.
const ANSWER_MAX_BYTES: usize = 64 * 1024;
/// When to come back while the pool's jobs are being recovered.
const RECOVERY_RETRY: Duration = Duration::from_millis(500);

/// Has the pool's owner serve a request, wherever that is.
///
/// # Errors
///
/// A [`Problem`] with the proved outcome.
pub(crate) async fn serve<P: Platform>(
    node: &Node<P>,
    request: JobRequest,
) -> Result<JobView, Problem> {
    match node.membership.owner(&request.pool) {
        Some(PoolOwner::Local) => at_owner(node, request).await,
        Some(PoolOwner::Peer(peer)) => ask(node, &peer, request).await,
        None => Err(recovering("the pool has no entry host yet")),
    }
}

async fn ask<P: Platform>(
    node: &Node<P>,
    owner: &Peer,
    mut request: JobRequest,
) -> Result<JobView, Problem> {
    request.epoch = owner.epoch;
    let limit = match request.verb {
        JobVerb::Show { wait_ms } => Duration::from_millis(wait_ms).min(WAIT_MAX),
        JobVerb::Submit(_) | JobVerb::Cancel => DURABLE_TIME,
    };
    let url = format!("http://{}/peer/jobs", owner.addr);
    let reply: Result<JobReply, _> =
        node.client.post_msgpack(&url, &request, limit + ANSWER_GRACE, ANSWER_MAX_BYTES).await;
    match reply {
        Ok(JobReply::View(view)) => Ok(view),
        Ok(JobReply::Problem(problem)) => Err(problem),
        Err(e) if e.is_not_sent() => {
            Err(recovering(&format!("entry host `{}` cannot be reached", owner.member.node)))
        }
        Err(_) => {
            let detail = format!("entry host `{}` was lost with the request", owner.member.node);
            Err(Problem::unknown(ProblemCode::OwnerLost, detail))
        }
    }
}

/// Serves a request at the pool's owner.
///
/// # Errors
///
/// A [`Problem`] with the proved outcome.
pub(crate) async fn at_owner<P: Platform>(
    node: &Node<P>,
    request: JobRequest,
) -> Result<JobView, Problem> {
    check_key(node, &request)?;
    let jobs = node.jobs.get(&request.pool);
    let jobs = jobs.ok_or_else(|| recovering("the pool's jobs are being recovered"))?;
    match request.verb {
        JobVerb::Submit(spec) => submit(node, &jobs, request.job, spec).await,
        JobVerb::Show { wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(WAIT_MAX);
            show(&jobs, request.job, &request.team, wait).await
        }
        JobVerb::Cancel => cancel(node, &jobs, request.job, &request.team).await,
    }
}

/// Checks the key by this node's own lists, which may be newer than those of
/// the entry host that the request came through.
fn check_key<P: Platform>(node: &Node<P>, request: &JobRequest) -> Result<(), Problem> {
    let config = node.config.current();
    let lists = &config.lists;
    let team = match &request.verb {
        JobVerb::Submit(spec) => {
            let admitted = admit_digest(lists, spec.queue.as_str(), request.digest)?;
            if admitted.queue.pool != request.pool || spec.team != request.team {
                let detail = "the queue or the team is another one by the newest lists";
                return Err(Problem::not_run(ProblemCode::NotPermitted, detail));
            }
            &admitted.plan.team
        }
        JobVerb::Show { .. } | JobVerb::Cancel => {
            owner_of_key(lists, &request.pool, request.digest)?
        }
    };
    if *team == request.team {
        return Ok(());
    }
    Err(Problem::not_run(ProblemCode::UnknownKey, "the key belongs to another team"))
}

/// Returns the team whose jobs in a pool may be asked about with a key.
/// Without one, it is the team of the pool's queue open to all.
///
/// # Errors
///
/// [`ProblemCode::UnknownKey`] or [`ProblemCode::MissingKey`].
pub(crate) fn owner_of_key<'a>(
    lists: &'a Lists,
    pool: &PoolId,
    digest: Option<KeyDigest>,
) -> Result<&'a TeamId, Problem> {
    if let Some(digest) = digest {
        let plan = lists.plan_of_digest(&digest);
        let unknown = || Problem::not_run(ProblemCode::UnknownKey, "the key is not in force");
        return plan.map(|plan| &plan.team).ok_or_else(unknown);
    }
    let open = lists.queues.values().find_map(|queue| match &queue.access {
        Access::Open { plan } if queue.pool == *pool => lists.plans.get(plan),
        _ => None,
    });
    let missing = || Problem::not_run(ProblemCode::MissingKey, "a key is needed");
    open.map(|plan| &plan.team).ok_or_else(missing)
}

async fn submit<P: Platform>(
    node: &Node<P>,
    jobs: &Arc<PoolJobs<P::Clock>>,
    job: JobId,
    mut spec: JobSpec,
) -> Result<JobView, Problem> {
    node.membership.check_may_act()?;
    let team = spec.team.clone();
    let settled = {
        let mut state = jobs.lock();
        if state.closed {
            return Err(recovering("the pool is moving to another entry host"));
        }
        if !state.known {
            return Err(recovering("the pool's workers are not known yet"));
        }
        let complete = state.complete;
        let shard = state.shard.as_mut();
        let shard = shard.ok_or_else(|| recovering("the pool's jobs are being recovered"))?;
        if let Some(known) = shard.job(job) {
            // A repeat comes later: the first one's time stands.
            spec.start_by = known.spec().start_by;
        }
        let submitted = shard.submit(job, spec, Now::read(&node.clock));
        let submitted = submitted.map_err(|refusal| match refusal {
            SubmitError::CannotRun if !complete => {
                recovering("the workers that answer can't hold the job, others have not answered")
            }
            refusal => refused(refusal),
        })?;
        match submitted {
            SubmitOutcome::AlreadyAccepted(_) => None,
            SubmitOutcome::Staged | SubmitOutcome::Pending => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.entry(job).or_default().push(sender);
                Some(receiver)
            }
        }
    };
    jobs.ring();
    if let Some(settled) = settled {
        durable(settled, "the job").await?;
        node.events.record(Code::JobAccepted, [Field::new("job", job), Field::new("team", &team)]);
    }
    view(jobs, job, &team)
}

async fn show<C: Clock>(
    jobs: &PoolJobs<C>,
    job: JobId,
    team: &TeamId,
    wait: Duration,
) -> Result<JobView, Problem> {
    let mut changes = jobs.changes();
    let until = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        let view = view(jobs, job, team)?;
        if view.ended {
            return Ok(view);
        }
        if !matches!(tokio::time::timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return Ok(view);
        }
    }
}

async fn cancel<P: Platform>(
    node: &Node<P>,
    jobs: &Arc<PoolJobs<P::Clock>>,
    job: JobId,
    team: &TeamId,
) -> Result<JobView, Problem> {
    view(jobs, job, team)?;
    let settled = {
        let mut state = jobs.lock();
        let shard = state.shard.as_mut();
        let shard = shard.ok_or_else(|| recovering("the pool's jobs are being recovered"))?;
        match shard.cancel(&[job], Now::read(&node.clock)).first() {
            Some(CancelOutcome::Staged) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.entry(job).or_default().push(sender);
                Some(receiver)
            }
            Some(CancelOutcome::Finished(_)) => None,
            Some(CancelOutcome::UnknownJob) | None => return Err(unknown_job()),
        }
    };
    jobs.ring();
    if let Some(settled) = settled {
        durable(settled, "the cancellation").await?;
    }
    view(jobs, job, team)
}

/// Waits until a change is durable.
async fn durable(settled: oneshot::Receiver<Settled>, what: &str) -> Result<(), Problem> {
    let detail = match tokio::time::timeout(DURABLE_TIME, settled).await {
        Ok(Ok(Settled::Durable)) => return Ok(()),
        Ok(Ok(Settled::Withdrawn(Durability::NotWritten))) => {
            return Err(recovering("the pool is moving to another entry host"));
        }
        Ok(Ok(Settled::Withdrawn(_))) | Ok(Err(_)) => "the pool moved to another entry host",
        Err(_) => "the store does not answer",
    };
    let detail = format!("{detail}; {what} may be durable: ask again by the same idempotency key");
    Err(Problem::unknown(ProblemCode::StoreUnavailable, detail))
}

fn view<C: Clock>(jobs: &PoolJobs<C>, job: JobId, team: &TeamId) -> Result<JobView, Problem> {
    let state = jobs.lock();
    let shard = state.shard.as_ref();
    let shard = shard.ok_or_else(|| recovering("the pool's jobs are being recovered"))?;
    // Another team's job looks like one that doesn't exist.
    let job = shard.job(job).filter(|job| job.spec().team == *team);
    job.and_then(JobView::of).ok_or_else(unknown_job)
}

fn unknown_job() -> Problem {
    let detail = "no job of this team has this id, or it ended too long ago";
    Problem::not_run(ProblemCode::UnknownJob, detail)
}

fn recovering(detail: &str) -> Problem {
    Problem::not_run(ProblemCode::NoOwner, detail).retry_after(RECOVERY_RETRY)
}

fn refused(refusal: SubmitError) -> Problem {
    let code = match refusal {
        SubmitError::Malformed { .. } => ProblemCode::MalformedRequest,
        SubmitError::IdTaken => ProblemCode::KeyReused,
        SubmitError::CannotRun => ProblemCode::CannotRun,
        SubmitError::TooManyJobs { .. } => ProblemCode::QueueFull,
        SubmitError::StoreBusy => ProblemCode::StoreUnavailable,
        SubmitError::NotOwner => ProblemCode::NoOwner,
    };
    Problem::not_run(code, refusal.to_string())
}
