//! The section that a difference concerns.

use derive_more::Display;
use serde::Serialize;
use vg_base::prelude::*;

/// The section that a difference concerns.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A plan.
    #[display("plan {_0}")]
    Plan(PlanId),
    /// A pool.
    #[display("pool {_0}")]
    Pool(PoolId),
    /// A queue.
    #[display("queue {_0}")]
    Queue(QueueId),
}
