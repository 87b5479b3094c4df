//! A request as the stand-ins' handlers get it.

use std::future::Future;
use std::pin::Pin;

use gotham::handler::{HandlerFuture, IntoResponse};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{State, StateData};
use http::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use vg_net::{Body, empty_body, read_body};

use crate::web::{Context, Problem, Reply};

/// Longest request body.
const REQUEST_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A request with the state of its server.
pub(crate) struct Exchange<T> {
    /// State of the server.
    pub(crate) context: Context<T>,
    /// Header fields.
    pub(crate) headers: HeaderMap,
    /// The part `:id` of the path, or nothing.
    pub(crate) id: String,
    body: Body,
}

impl<T: Send + Sync + 'static> Exchange<T> {
    fn take(state: &mut State) -> Exchange<T> {
        Exchange {
            context: state.borrow::<Context<T>>().clone(),
            headers: state.try_take().unwrap_or_default(),
            id: state.try_take::<IdPath>().map(|path| path.id).unwrap_or_default(),
            body: state.try_take().unwrap_or_else(empty_body),
        }
    }

    /// Reads the whole body as JSON.
    pub(crate) async fn json<Q: DeserializeOwned>(&mut self) -> Result<Q, Problem> {
        let body = self.bytes().await?;
        serde_json::from_slice(&body)
            .map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "malformed", e))
    }

    /// Reads the whole body.
    pub(crate) async fn bytes(&mut self) -> Result<bytes::Bytes, Problem> {
        let body = std::mem::replace(&mut self.body, empty_body());
        let whole = read_body(body, REQUEST_MAX_BYTES).await;
        whole.map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "cut-body", e))
    }
}

/// The part `:id` of a path.
#[derive(Deserialize)]
pub(crate) struct IdPath {
    id: String,
}

impl StateData for IdPath {}

impl StaticResponseExtender for IdPath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

/// Makes a handler of `gotham` from a function.
pub(crate) fn handle<T, F, R>(action: F) -> impl Fn(State) -> Pin<Box<HandlerFuture>> + Copy
where
    T: Send + Sync + 'static,
    F: Fn(Exchange<T>) -> R + Copy + Send + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    move |mut state| {
        let reply = action(Exchange::take(&mut state));
        Box::pin(async move {
            let response = reply.await.into_response(&state);
            Ok((state, response))
        })
    }
}
