//! Several nodes, a store and a network under faults, watched by an oracle.

mod fuzz;
mod mutants;
mod outage;
mod sim;
