//! Access to the node from handlers, through the state of `gotham`.

use std::panic::AssertUnwindSafe;

use gotham::state::{FromState, State, StateData};
use http::HeaderMap;
use vg_net::Body;

use crate::node::Node;
use crate::platform::Platform;

/// A shared node.
///
/// `gotham` requires its state to be unwind safe. This may be asserted, because the
/// node's locks recover from poisoning and each guard restores what it holds.
pub(crate) struct Context<P: Platform>(AssertUnwindSafe<Node<P>>);

impl<P: Platform> Clone for Context<P> {
    fn clone(&self) -> Context<P> {
        Context(AssertUnwindSafe(self.0.0.clone()))
    }
}

impl<P: Platform> StateData for Context<P> {}

impl<P: Platform> Context<P> {
    /// Wraps a node for `gotham`.
    pub(crate) fn new(node: Node<P>) -> Context<P> {
        Context(AssertUnwindSafe(node))
    }
}

/// Returns the node that received a request.
pub(crate) fn node<P: Platform>(state: &State) -> Node<P> {
    Context::<P>::borrow_from(state).0.0.clone()
}

/// Takes the request's headers and body out of the state.
pub(crate) fn take_request(state: &mut State) -> (HeaderMap, Body) {
    let headers = HeaderMap::take_from(state);
    let body = Body::take_from(state);
    (headers, body)
}
