//! Parameters of URL paths and queries.

use gotham::router::response::StaticResponseExtender;
use gotham::state::StateData;
use http::Response;
use serde::Deserialize;
use vg_net::Body;

use crate::problem::{Problem, ProblemCode};

fn refuse(response: &mut Response<Body>, detail: &str) {
    *response = Problem::not_run(ProblemCode::MalformedRequest, detail).into_response();
}

/// `/v1/queues/{queue}/…`
#[derive(Debug, Deserialize, StateData)]
pub(crate) struct QueuePath {
    /// Name of the queue, not yet validated.
    pub(crate) queue: String,
}

impl StaticResponseExtender for QueuePath {
    type ResBody = Body;

    fn extend(_: &mut gotham::state::State, response: &mut Response<Body>) {
        refuse(response, "the path is /v1/queues/QUEUE/calls or /v1/queues/QUEUE/jobs");
    }
}

/// `/v1/jobs/{job}`
#[derive(Debug, Deserialize, StateData)]
pub(crate) struct JobPath {
    /// Id of the job, not yet validated.
    pub(crate) job: String,
}

impl StaticResponseExtender for JobPath {
    type ResBody = Body;

    fn extend(_: &mut gotham::state::State, response: &mut Response<Body>) {
        refuse(response, "the path is /v1/jobs/JOB");
    }
}

/// `?wait=SECONDS`
#[derive(Debug, Deserialize, StateData)]
pub(crate) struct WaitQuery {
    /// Seconds to wait for the job's end.
    pub(crate) wait: Option<u64>,
}

impl StaticResponseExtender for WaitQuery {
    type ResBody = Body;

    fn extend(_: &mut gotham::state::State, response: &mut Response<Body>) {
        refuse(response, "the query is wait=SECONDS, a whole number");
    }
}

/// `?from=SERIAL&most=COUNT`
#[derive(Debug, Deserialize, StateData)]
pub(crate) struct EventsQuery {
    /// Serial number of the first event to return.
    pub(crate) from: Option<u64>,
    /// Largest number of events to return.
    pub(crate) most: Option<usize>,
}

impl StaticResponseExtender for EventsQuery {
    type ResBody = Body;

    fn extend(_: &mut gotham::state::State, response: &mut Response<Body>) {
        refuse(response, "the query is from=SERIAL&most=COUNT, whole numbers");
    }
}

/// `/peer/pools/{pool}/…`
#[derive(Debug, Deserialize, StateData)]
pub(crate) struct PoolPath {
    /// Name of the pool, not yet validated.
    pub(crate) pool: String,
}

impl StaticResponseExtender for PoolPath {
    type ResBody = Body;

    fn extend(_: &mut gotham::state::State, response: &mut Response<Body>) {
        refuse(response, "the path is /peer/pools/POOL/handover or /peer/pools/POOL/busy");
    }
}
