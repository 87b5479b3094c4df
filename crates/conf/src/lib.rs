//! Settings of a process and the two lists of the operators.

pub mod lists;

pub use lists::{Access, Class, KeyDigest, Lists, Plan, Pool, Queue};
