//! Command line of operators and callers.

fn main() {}
