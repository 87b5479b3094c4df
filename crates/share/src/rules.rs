//! Scheduling rules of one pool, from the operators' lists.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::{Access, Class, Lists};

/// Percentage of the pool's slots that is guaranteed to background work.
const BACKGROUND_FLOOR_PERCENT: u32 = 5;
/// Time for which the whole pool may serve one team's urgent work ahead of the
/// team's share.
const URGENT_CREDIT: Duration = Duration::from_secs(2);

/// Scheduling rule of one queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRule {
    /// Whether the queue's work is urgent or background work.
    pub class: Class,
    /// Longest time from the receipt of a call to the end of its answer.
    pub deadline: Duration,
    /// Largest number of items that wait in the queue at once.
    pub max_waiting: u32,
    /// Whether more than one team may send to the queue.
    pub multi_team: bool,
}

/// Scheduling rules of one pool: its teams, queues and limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolRules {
    /// Shares by team.
    pub teams: BTreeMap<TeamId, Share>,
    /// The pool's queues.
    pub queues: BTreeMap<QueueId, QueueRule>,
    /// Percentage of the pool's slots that is guaranteed to background work.
    pub floor_percent: u32,
    /// Time for which the whole pool may serve one team's urgent work ahead of
    /// the team's share. The team's later work repays the slot time, so a longer
    /// credit lets more urgent work start on time and lets teams deviate further
    /// from their shares for a while, but never changes what a team gets in the
    /// long run.
    pub urgent_credit: Duration,
}

impl PoolRules {
    /// Returns the rules of `pool` from the operators' lists.
    pub fn from_lists(lists: &Lists, pool: &PoolId) -> PoolRules {
        let teams = lists.plans.values().map(|plan| (plan.team.clone(), plan.share)).collect();
        let queues = lists.queues.values().filter(|queue| queue.pool == *pool);
        let queues = queues.map(|queue| {
            let rule = QueueRule {
                class: queue.class,
                deadline: queue.deadline,
                max_waiting: queue.bound,
                multi_team: match &queue.access {
                    Access::Open { .. } => true,
                    Access::Plans(plans) => plans.len() > 1,
                },
            };
            (queue.id.clone(), rule)
        });
        PoolRules {
            teams,
            queues: queues.collect(),
            floor_percent: BACKGROUND_FLOOR_PERCENT,
            urgent_credit: URGENT_CREDIT,
        }
    }
}
