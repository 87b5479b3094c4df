//! Serves requests about jobs, at any entry host and at the owner of the pool.

use std::sync::Arc;

use tokio::sync::oneshot;
use vg_base::prelude::*;
use vg_conf::{Access, KeyDigest, Lists};
use vg_events::{Code, Field};
use vg_jobs::{CancelOutcome, Durability, JobSpec, Now, SubmitError, SubmitOutcome};

use crate::admit::admit_digest;
use crate::jobs::pool::ChangeOutcome;
use crate::jobs::{JobOperation, JobReply, JobRequest, JobView, PoolJobs};
use crate::membership::{Peer, PoolOwner};
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};

/// Longest wait for a change to become durable.
const DURABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a job's end in one request.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time beyond the owner's own time limits for which its answer is awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Size limit for an owner's answer.
const ANSWER_MAX_BYTES: usize = 64 * 1024;
/// Delay after which a caller should retry while the pool's jobs are being recovered.
const RECOVERY_RETRY: Duration = Duration::from_millis(500);

/// Serves a request here if this node owns the pool, and forwards it to the owner
/// otherwise.
///
/// # Errors
///
/// A [`Problem`] with the proven outcome.
pub(crate) async fn serve<P: Platform>(
    node: &Node<P>,
    request: JobRequest,
) -> Result<JobView, Problem> {
    match node.membership.owner(&request.pool) {
        Some(PoolOwner::Local) => serve_as_owner(node, request).await,
        Some(PoolOwner::Peer(peer)) => forward(node, &peer, request).await,
        None => Err(not_ready("the pool has no entry host yet")),
    }
}

/// Forwards a request to the owner of the pool.
async fn forward<P: Platform>(
    node: &Node<P>,
    owner: &Peer,
    mut request: JobRequest,
) -> Result<JobView, Problem> {
    request.epoch = owner.epoch;
    let limit = match request.operation {
        JobOperation::Show { wait_ms } => Duration::from_millis(wait_ms).min(WAIT_MAX),
        JobOperation::Submit(_) | JobOperation::Cancel => DURABLE_TIMEOUT,
    };
    let url = format!("http://{}/peer/jobs", owner.addr);
    let reply: Result<JobReply, _> =
        node.client.post_msgpack(&url, &request, limit + ANSWER_GRACE, ANSWER_MAX_BYTES).await;
    match reply {
        Ok(JobReply::View(view)) => Ok(view),
        Ok(JobReply::Problem(problem)) => Err(problem),
        Err(e) if e.is_not_sent() => {
            Err(not_ready(&format!("entry host `{}` cannot be reached", owner.member.node)))
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
/// A [`Problem`] with the proven outcome.
pub(crate) async fn serve_as_owner<P: Platform>(
    node: &Node<P>,
    request: JobRequest,
) -> Result<JobView, Problem> {
    check_key(node, &request)?;
    let jobs = node.jobs.get(&request.pool);
    let jobs = jobs.ok_or_else(|| not_ready("the pool's jobs are being recovered"))?;
    match request.operation {
        JobOperation::Submit(spec) => submit(node, &jobs, request.job, spec).await,
        JobOperation::Show { wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(WAIT_MAX);
            show(&jobs, request.job, &request.team, wait).await
        }
        JobOperation::Cancel => cancel(node, &jobs, request.job, &request.team).await,
    }
}

/// Checks the key by this node's own lists, which may be newer than those of the entry
/// host that forwarded the request.
fn check_key<P: Platform>(node: &Node<P>, request: &JobRequest) -> Result<(), Problem> {
    let config = node.config.current();
    let lists = &config.lists;
    let team = match &request.operation {
        JobOperation::Submit(spec) => {
            let admitted = admit_digest(lists, spec.queue.as_str(), request.digest)?;
            if admitted.queue.pool != request.pool || spec.team != request.team {
                let detail = "the queue or the team is another one by the newest lists";
                return Err(Problem::not_run(ProblemCode::NotPermitted, detail));
            }
            &admitted.plan.team
        }
        JobOperation::Show { .. } | JobOperation::Cancel => {
            team_of_key(lists, &request.pool, request.digest)?
        }
    };
    if *team == request.team {
        return Ok(());
    }
    Err(Problem::not_run(ProblemCode::UnknownKey, "the key belongs to another team"))
}

/// Returns the team whose jobs in a pool may be queried with a key. Without a key, this
/// is the team of the pool's queue that is open to all.
///
/// # Errors
///
/// [`ProblemCode::UnknownKey`] or [`ProblemCode::MissingKey`].
pub(crate) fn team_of_key<'a>(
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

/// Submits a job to the shard and waits until its acceptance is durable.
async fn submit<P: Platform>(
    node: &Node<P>,
    jobs: &Arc<PoolJobs<P::Clock>>,
    job: JobId,
    mut spec: JobSpec,
) -> Result<JobView, Problem> {
    node.membership.check_may_act()?;
    let team = spec.team.clone();
    let pending = {
        let mut state = jobs.lock();
        if state.closed {
            return Err(not_ready("the pool is moving to another entry host"));
        }
        if !state.workers_known {
            return Err(not_ready("the pool's workers are not known yet"));
        }
        let complete = state.workers_complete;
        let shard = state.shard.as_mut();
        let shard = shard.ok_or_else(|| not_ready("the pool's jobs are being recovered"))?;
        if let Some(known) = shard.job(job) {
            // A repeated submission arrives later, so the latest time to start of the first
            // one is kept.
            spec.start_by = known.spec().start_by;
        }
        let submitted = shard.submit(job, spec, Now::read(&node.clock));
        let submitted = submitted.map_err(|refusal| match refusal {
            SubmitError::CannotRun if !complete => {
                not_ready("the workers that answer can't hold the job, others have not answered")
            }
            refusal => refusal_problem(refusal),
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
    jobs.wake();
    if let Some(pending) = pending {
        await_durable(pending, "the job").await?;
        node.events.record(Code::JobAccepted, [Field::new("job", job), Field::new("team", &team)]);
    }
    job_view(jobs, job, &team)
}

/// Returns a job's state once it is final or `wait` has passed.
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
        let view = job_view(jobs, job, team)?;
        if view.ended {
            return Ok(view);
        }
        if !matches!(tokio::time::timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return Ok(view);
        }
    }
}

/// Cancels a job and waits until the cancellation is durable.
async fn cancel<P: Platform>(
    node: &Node<P>,
    jobs: &Arc<PoolJobs<P::Clock>>,
    job: JobId,
    team: &TeamId,
) -> Result<JobView, Problem> {
    job_view(jobs, job, team)?;
    let pending = {
        let mut state = jobs.lock();
        let shard = state.shard.as_mut();
        let shard = shard.ok_or_else(|| not_ready("the pool's jobs are being recovered"))?;
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
    jobs.wake();
    if let Some(pending) = pending {
        await_durable(pending, "the cancellation").await?;
    }
    job_view(jobs, job, team)
}

/// Waits until a change is durable.
async fn await_durable(
    outcome: oneshot::Receiver<ChangeOutcome>,
    what: &str,
) -> Result<(), Problem> {
    let detail = match tokio::time::timeout(DURABLE_TIMEOUT, outcome).await {
        Ok(Ok(ChangeOutcome::Durable)) => return Ok(()),
        Ok(Ok(ChangeOutcome::Unconfirmed(Durability::NotWritten))) => {
            return Err(not_ready("the pool is moving to another entry host"));
        }
        Ok(Ok(ChangeOutcome::Unconfirmed(_))) | Ok(Err(_)) => {
            "the pool moved to another entry host"
        }
        Err(_) => "the store does not answer",
    };
    let detail = format!("{detail}; {what} may be durable: ask again by the same idempotency key");
    Err(Problem::unknown(ProblemCode::StoreUnavailable, detail))
}

/// Returns the view of a team's job.
fn job_view<C: Clock>(jobs: &PoolJobs<C>, job: JobId, team: &TeamId) -> Result<JobView, Problem> {
    let state = jobs.lock();
    let shard = state.shard.as_ref();
    let shard = shard.ok_or_else(|| not_ready("the pool's jobs are being recovered"))?;
    // A job of another team is reported like one that does not exist.
    let job = shard.job(job).filter(|job| job.spec().team == *team);
    job.and_then(JobView::of).ok_or_else(unknown_job)
}

fn unknown_job() -> Problem {
    let detail = "no job of this team has this id, or it ended too long ago";
    Problem::not_run(ProblemCode::UnknownJob, detail)
}

/// Returns the problem for a pool whose jobs cannot be served now. The caller should
/// retry after [`RECOVERY_RETRY`].
fn not_ready(detail: &str) -> Problem {
    Problem::not_run(ProblemCode::NoOwner, detail).retry_after(RECOVERY_RETRY)
}

/// Converts a refusal of the shard to a problem.
fn refusal_problem(refusal: SubmitError) -> Problem {
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
