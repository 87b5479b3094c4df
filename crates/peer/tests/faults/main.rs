//! Tests of several simulated nodes, a store and a network with faults, checked by an oracle.

mod fuzz;
mod mutants;
mod outage;
mod sim;
