//! A simulation of several nodes, a store and a network, and the oracle that checks it.

pub(crate) mod op;
pub(crate) mod oracle;
pub(crate) mod process;
pub(crate) mod store;
pub(crate) mod world;
