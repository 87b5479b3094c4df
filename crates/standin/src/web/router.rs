//! Routers with shared state.

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{
    SinglePipelineChain, SinglePipelineSet, single_middleware, single_pipeline,
};
use gotham::router::builder::RouterBuilder;
use gotham::router::{Router, build_router};

use crate::web::Context;

type Middlewares<T> = (StateMiddleware<Context<T>>, ());

/// Routes of a server whose requests share a [`Context`].
type Routes<'a, T> = RouterBuilder<'a, SinglePipelineChain<Middlewares<T>>, RoutePipelines<T>>;

type RoutePipelines<T> = (gotham::pipeline::Pipeline<Middlewares<T>>, ());

/// Builds a router.
pub(crate) fn router<T, F>(context: Context<T>, draw: F) -> Router
where
    T: Send + Sync + 'static,
    F: FnOnce(&mut Routes<'_, T>),
{
    let middleware = StateMiddleware::new(context);
    let (chain, pipelines): (_, SinglePipelineSet<Middlewares<T>>) =
        single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, draw)
}
