//! Handler for calls of callers.

use gotham::handler::HandlerResult;
use gotham::state::{FromState, State};

use crate::ingress;
use crate::platform::Platform;
use crate::web::context::{node, take_request};
use crate::web::paths::QueuePath;

/// `POST /v1/queues/{queue}/calls`
pub(crate) async fn post_call<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let path = QueuePath::take_from(&mut state);
    let (headers, body) = take_request(&mut state);
    let response = ingress::call(&node, &path.queue, &headers, body).await;
    Ok((state, response))
}
