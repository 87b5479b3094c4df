//! What is known of the one run of a key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use vg_base::prelude::*;

use super::{Answer, Fingerprint, KeyedRequest, ReceiptName};

/// Memory that a receipt takes besides its answer, in bytes.
const OVERHEAD_BYTES: usize = 320;

new_key_type! {
    /// A receipt in the table of the entry host that made it.
    pub struct ReceiptKey;
}

/// Requests under one key whose fate is open.
///
/// An entry host can forward the same key more than once. Its copy of the
/// receipt is given up only when none of them can have run.
pub type Attempts = Vec<RequestId>;

/// How far the run of a key is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReceiptState {
    /// It may be running: its call was, or can be, written to an endpoint.
    Running,
    /// It ran, and this is its whole answer.
    Answered(Arc<Answer>),
    /// It may have run, and no answer is known.
    Unknown,
}

impl ReceiptState {
    /// Returns how much it says; a receipt only changes towards more.
    pub(crate) fn rank(&self) -> u8 {
        match self {
            ReceiptState::Running => 0,
            ReceiptState::Unknown => 1,
            ReceiptState::Answered(_) => 2,
        }
    }
}

/// What is known of the one run of a key, as entry hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Team, queue and key.
    pub name: ReceiptName,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// Digest of what was asked.
    pub fingerprint: Fingerprint,
    /// Requests whose fate is open.
    pub attempts: Attempts,
    /// How far the run is known.
    pub state: ReceiptState,
}

impl Receipt {
    /// Makes the receipt of a request that is about to run.
    pub fn of_request(request: &KeyedRequest) -> Receipt {
        Receipt {
            name: request.name.clone(),
            pool: request.pool.clone(),
            fingerprint: request.fingerprint,
            attempts: vec![request.attempt],
            state: ReceiptState::Running,
        }
    }

    /// Returns the memory that it takes.
    pub(crate) fn bytes(&self) -> usize {
        let answer = match &self.state {
            ReceiptState::Answered(answer) => answer.bytes(),
            ReceiptState::Running | ReceiptState::Unknown => 0,
        };
        OVERHEAD_BYTES + answer
    }
}
