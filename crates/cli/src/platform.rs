//! How a command reaches the platform's key-value service.

use std::net::SocketAddr;

use vg_store::Store;

/// Makes a store from its addresses.
pub trait Platform {
    /// The store type.
    type Store: Store;

    /// Makes a store that tries the addresses in turn. Connects only when used.
    fn store(&self, addrs: &[SocketAddr]) -> Self::Store;
}

impl<S: Store, F: Fn(&[SocketAddr]) -> S> Platform for F {
    type Store = S;

    fn store(&self, addrs: &[SocketAddr]) -> S {
        self(addrs)
    }
}
