//! The record of the single run of an idempotency key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use vg_base::prelude::*;

use super::{Answer, Fingerprint, KeyedRequest, ReceiptName};

/// Memory that a receipt uses besides its answer, in bytes.
const OVERHEAD_BYTES: usize = 320;

new_key_type! {
    /// Identifies a receipt in the table of the entry host that created it.
    pub struct ReceiptKey;
}

/// Attempts of one key whose outcomes are not known.
///
/// An entry host can forward the same key more than once. Its copy of the receipt
/// is removed only when none of the attempts can have run.
pub type Attempts = Vec<RequestId>;

/// State of the run of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReceiptState {
    /// The call was written to an endpoint, or may be written to one.
    Running,
    /// The call ran, and this is its complete answer.
    Answered(Arc<Answer>),
    /// The call may have run, and no answer is known.
    Unknown,
}

impl ReceiptState {
    /// Returns the rank of the state. A receipt only changes to a state of higher
    /// rank.
    pub(crate) fn rank(&self) -> u8 {
        match self {
            ReceiptState::Running => 0,
            ReceiptState::Unknown => 1,
            ReceiptState::Answered(_) => 2,
        }
    }
}

/// The record of the single run of a key, as entry hosts send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Team, queue and key of the request.
    pub name: ReceiptName,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Attempts whose outcomes are not known.
    pub attempts: Attempts,
    /// State of the run.
    pub state: ReceiptState,
}

impl Receipt {
    /// Returns the receipt of a request that is about to run.
    pub fn of_request(request: &KeyedRequest) -> Receipt {
        Receipt {
            name: request.name.clone(),
            pool: request.pool.clone(),
            fingerprint: request.fingerprint,
            attempts: vec![request.attempt],
            state: ReceiptState::Running,
        }
    }

    /// Returns the memory that the receipt uses, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let answer = match &self.state {
            ReceiptState::Answered(answer) => answer.bytes(),
            ReceiptState::Running | ReceiptState::Unknown => 0,
        };
        OVERHEAD_BYTES + answer
    }
}
