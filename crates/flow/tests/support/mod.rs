//! A small fleet for the decisions: workers that keep the platform's contract,
//! a store, and messages that get lost or come late.

pub(crate) mod spec;
pub(crate) mod world;
