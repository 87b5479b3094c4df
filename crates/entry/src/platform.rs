//! The outside of a node as one type parameter.

use std::fmt::Debug;

use vg_base::{Clock, SystemClock};
use vg_store::Store;

/// What a node stands on: the platform's store and a clock.
///
/// One parameter in place of several keeps signatures short and the request
/// path free of `dyn`.
pub trait Platform: Clone + Debug + Send + Sync + 'static {
    /// The key-value service.
    type Store: Store + Debug;
    /// The clock.
    type Clock: Clock + Debug;
}

/// The operating system's clock over a given store.
#[derive(Debug, Clone)]
pub struct SystemPlatform<S>(std::marker::PhantomData<S>);

impl<S: Store + Debug> Platform for SystemPlatform<S> {
    type Store = S;
    type Clock = SystemClock;
}
