//! Kinds of store calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A kind of store call. The platform's service counts calls by kind.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// Reading one key.
    #[display("get")]
    Get,
    /// Reading the keys under a prefix.
    #[display("range")]
    Range,
    /// A transaction.
    #[display("txn")]
    Txn,
    /// Granting, renewing or revoking a lease.
    #[display("lease")]
    Lease,
    /// Opening a watch.
    #[display("watch")]
    Watch,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 5] =
        [CallKind::Get, CallKind::Range, CallKind::Txn, CallKind::Lease, CallKind::Watch];

    /// Whether the call can change the store.
    pub fn is_write(self) -> bool {
        matches!(self, CallKind::Txn | CallKind::Lease)
    }
}
