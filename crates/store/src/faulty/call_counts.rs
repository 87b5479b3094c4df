//! Counters of store calls.

use serde::{Deserialize, Serialize};

use crate::faulty::CallKind;

/// Number of calls so far by kind. A watch counts once, when it is opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of one key.
    pub get: u64,
    /// Reads of a prefix.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Lease calls.
    pub lease: u64,
    /// Opened watches.
    pub watch: u64,
    /// Calls refused because of a rate limit; they are also counted by kind.
    pub throttled: u64,
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.reads() + self.writes()
    }

    /// Returns the number of calls that only read, including opened watches.
    pub fn reads(&self) -> u64 {
        self.get + self.range + self.watch
    }

    /// Returns the number of calls that can write.
    pub fn writes(&self) -> u64 {
        self.txn + self.lease
    }

    /// Counts one call.
    pub(crate) fn add(&mut self, call: CallKind) {
        let count = match call {
            CallKind::Get => &mut self.get,
            CallKind::Range => &mut self.range,
            CallKind::Txn => &mut self.txn,
            CallKind::Lease => &mut self.lease,
            CallKind::Watch => &mut self.watch,
        };
        *count += 1;
    }
}
