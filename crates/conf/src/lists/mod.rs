//! The two lists that operators edit: `plans` and `uses`.

mod diff;
mod digest;
mod edit;
mod headers;
mod kinds;
mod parse;
mod plan;
mod pool;
mod queue;
mod render;
mod warning;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

pub use crate::ini::Diagnostics as ListErrors;
pub use diff::{Difference, Effect, Subject, diff};
pub use digest::KeyDigest;
pub use edit::{EditError, grant_key, withdraw_key};
pub use parse::{MAX_LIST_BYTES, PLANS, USES, parse};
pub use plan::Plan;
pub use pool::Pool;
pub use queue::{Access, Class, Queue};
pub use render::render;
pub use warning::{Warning, warnings};

/// Both lists, checked as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Customers' plans by id. A team has one plan.
    pub plans: BTreeMap<PlanId, Plan>,
    /// Pools by id.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Queues by id. Each belongs to a pool of `pools`.
    pub queues: BTreeMap<QueueId, Queue>,
}

impl Lists {
    /// Returns the plan that a key belongs to.
    ///
    /// Compares with every digest in constant time, so that the time taken
    /// tells nothing about the keys.
    pub fn plan_of_key(&self, key: &str) -> Option<&Plan> {
        self.plan_of_digest(&KeyDigest::of(key))
    }

    /// Returns the plan that the key of a digest belongs to, in constant time.
    pub fn plan_of_digest(&self, digest: &KeyDigest) -> Option<&Plan> {
        let mut found = None;
        for plan in self.plans.values() {
            for each in &plan.keys {
                if each.matches(digest) {
                    found = Some(plan);
                }
            }
        }
        found
    }

    /// Returns the plan of a team.
    pub fn plan_of_team(&self, team: &TeamId) -> Option<&Plan> {
        self.plans.values().find(|plan| plan.team == *team)
    }
}
