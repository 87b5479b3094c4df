//! A request as the handlers of the stand-ins receive it.

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

/// Maximum size of a request body.
const REQUEST_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A request, with the shared state of the server that received it.
pub(crate) struct Exchange<T> {
    /// Shared state of the server.
    pub(crate) context: Context<T>,
    /// Header fields of the request.
    pub(crate) headers: HeaderMap,
    /// The segment `:id` of the path; empty if the route has none.
    pub(crate) id: String,
    body: Body,
}

impl<T: Send + Sync + 'static> Exchange<T> {
    fn from_state(state: &mut State) -> Exchange<T> {
        Exchange {
            context: state.borrow::<Context<T>>().clone(),
            headers: state.try_take().unwrap_or_default(),
            id: state.try_take::<IdPath>().map(|path| path.id).unwrap_or_default(),
            body: state.try_take().unwrap_or_else(empty_body),
        }
    }

    /// Reads the whole body as JSON. The body can be read only once.
    ///
    /// # Errors
    ///
    /// Returns a problem with status 400 if the body is truncated, longer than
    /// [`REQUEST_MAX_BYTES`] or not valid JSON for `Q`.
    pub(crate) async fn read_json<Q: DeserializeOwned>(&mut self) -> Result<Q, Problem> {
        let body = self.read_bytes().await?;
        serde_json::from_slice(&body)
            .map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "malformed", e))
    }

    /// Reads the whole body. The body can be read only once.
    ///
    /// # Errors
    ///
    /// Returns a problem with status 400 if the body is truncated or longer than
    /// [`REQUEST_MAX_BYTES`].
    pub(crate) async fn read_bytes(&mut self) -> Result<bytes::Bytes, Problem> {
        let body = std::mem::replace(&mut self.body, empty_body());
        let bytes = read_body(body, REQUEST_MAX_BYTES).await;
        bytes.map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "cut-body", e))
    }
}

/// The segment `:id` of a path.
#[derive(Deserialize)]
pub(crate) struct IdPath {
    id: String,
}

impl StateData for IdPath {}

impl StaticResponseExtender for IdPath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

/// Adapts a function on an [`Exchange`] to a handler of `gotham`.
pub(crate) fn handler<T, F, R>(action: F) -> impl Fn(State) -> Pin<Box<HandlerFuture>> + Copy
where
    T: Send + Sync + 'static,
    F: Fn(Exchange<T>) -> R + Copy + Send + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    move |mut state| {
        let reply = action(Exchange::from_state(&mut state));
        Box::pin(async move {
            let response = reply.await.into_response(&state);
            Ok((state, response))
        })
    }
}
