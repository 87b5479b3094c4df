//! The records and the planner under faults of hosts, store and planners.

mod cases;
mod fuzz;
mod mutants;
mod op;
mod oracle;
mod store;
mod world;
