//! Endpoints' slots, connections, ejection and at-most-once receipts.
