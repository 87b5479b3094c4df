//! The configuration of a queue.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Who may send to a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Every team, and callers without a key. Work without a key runs under the
    /// given plan and counts against its limit and share.
    Open {
        /// The plan that work without a key runs under.
        plan: PlanId,
    },
    /// Only the teams of the named plans.
    Plans(Vec<PlanId>),
}

/// Priority class of the work of a queue.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that has to start by its deadline and goes before background work.
    #[display("urgent")]
    Urgent,
    /// Work that uses the capacity that urgent work leaves, but never gets less
    /// than a minimum share.
    #[display("background")]
    Background,
}

/// Who may send work to a queue and how it runs: a section `[queue NAME]` of the
/// list `uses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub id: QueueId,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// Who may send work to the queue.
    pub access: Access,
    /// Priority class of the work.
    pub class: Class,
    /// For a call, the longest time from receipt to the end of its answer. For a
    /// job, the longest time from acceptance to start.
    pub deadline: Duration,
    /// Whether the work may run more than once without harm.
    pub idempotent: bool,
    /// Number of requests that may wait at once; a further one is refused.
    pub bound: u32,
}
