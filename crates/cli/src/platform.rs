//! How a command reaches the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use vg_store::Store;

/// Makes a store from its addresses.
pub trait Platform {
    /// The store type.
    type Store: Store;

    /// Makes a store that tries the addresses in turn and gives each call at
    /// most `limit`. Connects only when used.
    fn store(&self, addrs: &[SocketAddr], limit: Duration) -> Self::Store;
}

impl<S: Store, F: Fn(&[SocketAddr], Duration) -> S> Platform for F {
    type Store = S;

    fn store(&self, addrs: &[SocketAddr], limit: Duration) -> S {
        self(addrs, limit)
    }
}
