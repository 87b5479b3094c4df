//! Tests of the records and the planner with faults of hosts, the store and
//! planners.

mod cases;
mod fuzz;
mod mutants;
mod op;
mod oracle;
mod store;
mod world;
