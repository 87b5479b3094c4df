//! A queue.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Who may send to a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Everybody, also without a key. Work without a key runs as the plan
    /// named by the queue's `plan`, whose limit and share it counts against.
    Open {
        /// The plan that such work counts against.
        plan: PlanId,
    },
    /// The named plans only.
    Plans(Vec<PlanId>),
}

/// How a queue's work is ranked.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Starts by its deadline, before background work.
    #[display("urgent")]
    Urgent,
    /// Keeps moving with what urgent work leaves, but never less than a floor.
    #[display("background")]
    Background,
}

/// What callers may send to a queue, a section `[queue NAME]` of the list `uses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub id: QueueId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Who may send to it.
    pub access: Access,
    /// Urgent or background.
    pub class: Class,
    /// A call's longest time from receipt to the end of its answer; for a job,
    /// from acceptance to start.
    pub deadline: Duration,
    /// Whether work may run more than once without harm.
    pub idempotent: bool,
    /// Most requests that wait at once; one more is refused.
    pub bound: u32,
}
