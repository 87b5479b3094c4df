//! State that all requests to one server share.

use std::ops::Deref;
use std::panic::{RefUnwindSafe, UnwindSafe};
use std::sync::Arc;

use gotham::state::StateData;

/// Shared state of a server. Clones refer to the same state.
#[derive(Debug)]
pub(crate) struct Context<T>(Arc<T>);

impl<T> Context<T> {
    /// Creates the shared state from `value`.
    pub(crate) fn new(value: T) -> Context<T> {
        Context(Arc::new(value))
    }
}

impl<T> Clone for Context<T> {
    fn clone(&self) -> Context<T> {
        Context(Arc::clone(&self.0))
    }
}

impl<T> Deref for Context<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

// A panic in one request leaves the shared state usable: its locks ignore
// poisoning, and each change is made in one step under a lock.
impl<T> RefUnwindSafe for Context<T> {}
impl<T> UnwindSafe for Context<T> {}

impl<T: Send + Sync + 'static> StateData for Context<T> {}
