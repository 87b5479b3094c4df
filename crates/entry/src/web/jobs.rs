//! Handlers for job requests of callers.

use gotham::handler::HandlerResult;
use gotham::state::{FromState, State};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use vg_base::prelude::*;
use vg_conf::{Class as QueueClass, KeyDigest};
use vg_jobs::{Class, JobSpec, PAYLOAD_MAX_BYTES, Resources};
use vg_net::Body;

use crate::admit::admit_digest;
use crate::headers;
use crate::ingress::read_body;
use crate::jobs::{
    JobOperation, JobRequest, JobView, job_id, keyed_job_id, pool_of, serve, team_of_key,
};
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode, outcome_value};
use crate::web::context::{node, take_request};
use crate::web::paths::{JobPath, QueuePath, WaitQuery};

/// Size of a job that declares none: one core and half a gibibyte of memory.
const DEFAULT_SIZE: Resources = Resources::new(1000, 512 * 1024 * 1024, 0);
/// Longest wait for the body of a job.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `POST /v1/queues/{queue}/jobs`
pub(crate) async fn post_job<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let path = QueuePath::take_from(&mut state);
    let (headers, body) = take_request(&mut state);
    let result = submit(&node, &path.queue, &headers, body).await;
    Ok((state, respond(result, StatusCode::ACCEPTED)))
}

/// `GET /v1/jobs/{job}`
pub(crate) async fn get_job<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let wait = WaitQuery::take_from(&mut state).wait.unwrap_or(0);
    let operation = JobOperation::Show { wait_ms: wait.saturating_mul(1000) };
    let result = serve_existing(&node, &mut state, operation).await;
    Ok((state, respond(result, StatusCode::OK)))
}

/// `DELETE /v1/jobs/{job}`
pub(crate) async fn delete_job<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let result = serve_existing(&node, &mut state, JobOperation::Cancel).await;
    Ok((state, respond(result, StatusCode::OK)))
}

/// Builds a job from a request and submits it to the owner of the pool.
async fn submit<P: Platform>(
    node: &Node<P>,
    queue: &str,
    headers: &HeaderMap,
    body: Body,
) -> Result<JobView, Problem> {
    node.await_serving().await?;
    let key = headers::idempotency_key(headers)?;
    let deadline = headers::deadline(headers)?;
    let size = size(headers)?;
    let run_time = headers::parsed::<u64>(headers, &headers::JOB_RUN_MS, "milliseconds")?;
    let config = node.config.current();
    let digest = headers::bearer(headers)?.map(KeyDigest::of);
    let admitted = admit_digest(&config.lists, queue, digest)?;
    let payload = read_body(node, body, BODY_TIMEOUT).await?;
    if payload.len() > PAYLOAD_MAX_BYTES {
        let detail = format!("a job's body has at most {PAYLOAD_MAX_BYTES} bytes");
        return Err(Problem::not_run(ProblemCode::BodyTooLong, detail));
    }
    let (queue, team) = (admitted.queue, &admitted.plan.team);
    let wait = deadline.unwrap_or(queue.deadline).min(queue.deadline);
    let job = match &key {
        Some(key) => keyed_job_id(&queue.pool, team, &queue.id, key),
        None => job_id(&queue.pool),
    };
    let spec = JobSpec {
        queue: queue.id.clone(),
        team: team.clone(),
        class: match queue.class {
            QueueClass::Urgent => Class::Urgent,
            QueueClass::Background => Class::Background,
        },
        idempotent: queue.idempotent,
        size,
        run_time: run_time.map(Duration::from_millis),
        start_by: Some(node.clock.wall() + wait),
        payload,
    };
    let operation = JobOperation::Submit(spec);
    let request = JobRequest {
        pool: queue.pool.clone(),
        epoch: Epoch::ZERO,
        job,
        team: team.clone(),
        digest,
        operation,
    };
    serve(node, request).await
}

/// Returns the resources that a job declares, with [`DEFAULT_SIZE`] for those that it
/// does not.
fn size(headers: &HeaderMap) -> Result<Resources, Problem> {
    let cores = headers::parsed(headers, &headers::JOB_CORES, "thousandths of a core")?;
    let memory = headers::parsed(headers, &headers::JOB_MEMORY, "bytes")?;
    let accelerators = headers::parsed(headers, &headers::JOB_ACCELERATORS, "a whole number")?;
    Ok(Resources::new(
        cores.unwrap_or(DEFAULT_SIZE.cores.0),
        memory.unwrap_or(DEFAULT_SIZE.memory.0),
        accelerators.unwrap_or(DEFAULT_SIZE.accelerators.0),
    ))
}

/// Serves a request about a job that was accepted before.
async fn serve_existing<P: Platform>(
    node: &Node<P>,
    state: &mut State,
    operation: JobOperation,
) -> Result<JobView, Problem> {
    node.await_serving().await?;
    let path = JobPath::take_from(state);
    let headers = HeaderMap::take_from(state);
    let no_job = || Problem::not_run(ProblemCode::UnknownJob, "no job has this id");
    let job: JobId = path.job.parse().map_err(|_| no_job())?;
    let config = node.config.current();
    let pool = pool_of(&config.lists, job).ok_or_else(no_job)?.clone();
    let digest = headers::bearer(&headers)?.map(KeyDigest::of);
    let team = team_of_key(&config.lists, &pool, digest)?.clone();
    serve(node, JobRequest { pool, epoch: Epoch::ZERO, job, team, digest, operation }).await
}

fn respond(result: Result<JobView, Problem>, status: StatusCode) -> Response<Body> {
    let view = match result {
        Ok(view) => view,
        Err(problem) => return problem.into_response(),
    };
    let body = serde_json::to_vec(&view).unwrap_or_default();
    let mut response = Response::new(vg_net::full_body(body));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    fields.insert(headers::OUTCOME, outcome_value(Outcome::Answered));
    response
}
