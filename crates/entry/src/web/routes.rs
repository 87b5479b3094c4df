//! The routes of the addresses for callers and for peers.

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use http::StatusCode;

use crate::node::Node;
use crate::platform::Platform;
use crate::web::context::Context;
use crate::web::paths::{EventsQuery, JobPath, PoolPath, QueuePath, WaitQuery};
use crate::web::{calls, jobs, peers, status};

/// Creates the router of the address for callers.
pub(crate) fn caller_router<P: Platform>(node: &Node<P>) -> Router {
    let middleware = StateMiddleware::new(Context::new(node.clone()));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.add_response_extender(StatusCode::NOT_FOUND, status::refuse_unknown);
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, status::refuse_method);
        route.get("/healthz").to_async(status::get_health);
        route.get("/readyz").to_async(status::get_ready::<P>);
        route.get("/metrics").to_async(status::get_metrics::<P>);
        route.get("/v1/status").to_async(status::get_status::<P>);
        route
            .get("/v1/events")
            .with_query_string_extractor::<EventsQuery>()
            .to_async(status::get_events::<P>);
        route
            .post("/v1/queues/:queue/calls")
            .with_path_extractor::<QueuePath>()
            .to_async(calls::post_call::<P>);
        route
            .post("/v1/queues/:queue/jobs")
            .with_path_extractor::<QueuePath>()
            .to_async(jobs::post_job::<P>);
        route
            .get("/v1/jobs/:job")
            .with_path_extractor::<JobPath>()
            .with_query_string_extractor::<WaitQuery>()
            .to_async(jobs::get_job::<P>);
        route
            .delete("/v1/jobs/:job")
            .with_path_extractor::<JobPath>()
            .to_async(jobs::delete_job::<P>);
    })
}

/// Creates the router of the address for peers.
pub(crate) fn peer_router<P: Platform>(node: &Node<P>) -> Router {
    let middleware = StateMiddleware::new(Context::new(node.clone()));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.add_response_extender(StatusCode::NOT_FOUND, status::refuse_unknown);
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, status::refuse_method);
        route
            .post("/peer/queues/:queue/calls")
            .with_path_extractor::<QueuePath>()
            .to_async(peers::post_call::<P>);
        route
            .post("/peer/pools/:pool/handover")
            .with_path_extractor::<PoolPath>()
            .to_async(peers::post_handover::<P>);
        route
            .post("/peer/pools/:pool/busy")
            .with_path_extractor::<PoolPath>()
            .to_async(peers::post_busy::<P>);
        route.post("/peer/heartbeat").to_async(peers::post_heartbeat::<P>);
        route.post("/peer/units").to_async(peers::post_permits::<P>);
        route.post("/peer/jobs").to_async(peers::post_job::<P>);
        route.post("/peer/jobs/units").to_async(peers::post_job_permits::<P>);
        route.post("/peer/lists").to_async(peers::post_lists::<P>);
        route.post("/peer/receipts").to_async(peers::post_receipt::<P>);
        route.post("/peer/receipts/settled").to_async(peers::post_settled::<P>);
    })
}
