//! Numbers of store calls.

use serde::{Deserialize, Serialize};

use crate::faulty::Call;

/// Calls made so far by kind; a watch counts once, when it is opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
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
    /// Calls refused as too many, which are counted by kind as well.
    pub throttled: u64,
}

impl Counts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.reads() + self.writes()
    }

    /// Returns the calls that read; a watch is one of them.
    pub fn reads(&self) -> u64 {
        self.get + self.range + self.watch
    }

    /// Returns the calls that can write.
    pub fn writes(&self) -> u64 {
        self.txn + self.lease
    }

    /// Counts one call.
    pub(crate) fn add(&mut self, call: Call) {
        let count = match call {
            Call::Get => &mut self.get,
            Call::Range => &mut self.range,
            Call::Txn => &mut self.txn,
            Call::Lease => &mut self.lease,
            Call::Watch => &mut self.watch,
        };
        *count += 1;
    }
}
