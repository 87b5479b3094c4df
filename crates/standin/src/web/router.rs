//! Construction of a router whose requests share the state of the server.

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{
    SinglePipelineChain, SinglePipelineSet, single_middleware, single_pipeline,
};
use gotham::router::builder::RouterBuilder;
use gotham::router::{Router, build_router};

use crate::web::Context;

type RouteMiddleware<T> = (StateMiddleware<Context<T>>, ());

/// Builder of the routes of a server whose requests share a [`Context`].
type Routes<'a, T> = RouterBuilder<'a, SinglePipelineChain<RouteMiddleware<T>>, RoutePipelines<T>>;

type RoutePipelines<T> = (gotham::pipeline::Pipeline<RouteMiddleware<T>>, ());

/// Builds a router with the routes that `add_routes` adds.
pub(crate) fn router<T, F>(context: Context<T>, add_routes: F) -> Router
where
    T: Send + Sync + 'static,
    F: FnOnce(&mut Routes<'_, T>),
{
    let middleware = StateMiddleware::new(context);
    let (chain, pipelines): (_, SinglePipelineSet<RouteMiddleware<T>>) =
        single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, add_routes)
}
