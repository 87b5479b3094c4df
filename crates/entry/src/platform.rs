//! The environment of a node as a single type parameter.

use std::fmt::Debug;

use vg_base::{Clock, SystemClock};
use vg_store::Store;

/// The environment that a node needs: a key-value store and a clock.
///
/// A single type parameter keeps signatures short and avoids `dyn` on the request path.
pub trait Platform: Clone + Debug + Send + Sync + 'static {
    /// The key-value service.
    type Store: Store + Debug;
    /// The clock.
    type Clock: Clock + Debug;
}

/// A given store with the clock of the operating system.
#[derive(Debug, Clone)]
pub struct SystemPlatform<S>(std::marker::PhantomData<S>);

impl<S: Store + Debug> Platform for SystemPlatform<S> {
    type Store = S;
    type Clock = SystemClock;
}
