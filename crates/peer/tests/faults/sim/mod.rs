//! Several nodes, a store and a network in one process, and the oracle that
//! watches them.

pub(crate) mod op;
pub(crate) mod oracle;
pub(crate) mod process;
pub(crate) mod store;
pub(crate) mod world;
