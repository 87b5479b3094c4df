//! The entry host: HTTP, tables and wiring.
