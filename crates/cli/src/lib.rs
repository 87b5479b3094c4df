//! The command line of operators and callers.

pub mod revise;
