//! Adapter for the etcd v3 JSON gateway.

mod classify;
mod lines;
mod settings;
mod store;
mod transport;
mod watch;
pub mod wire;

pub use settings::EtcdSettings;
pub use store::EtcdStore;
pub use watch::EtcdWatch;
