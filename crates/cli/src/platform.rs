//! Access of commands to the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use vg_store::Store;

/// Makes a client of the store from its addresses.
pub trait Platform {
    /// The store type.
    type Store: Store;

    /// Makes a store that tries the addresses in turn and limits each call to the
    /// duration `limit`. The store connects when it is first used.
    fn store(&self, addrs: &[SocketAddr], limit: Duration) -> Self::Store;
}

impl<S: Store, F: Fn(&[SocketAddr], Duration) -> S> Platform for F {
    type Store = S;

    fn store(&self, addrs: &[SocketAddr], limit: Duration) -> S {
        self(addrs, limit)
    }
}
