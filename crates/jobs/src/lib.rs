//! Durable jobs: states, placement and recovery.
