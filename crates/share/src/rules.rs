//! What the operators' lists say about one pool's waiting work.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::{Access, Class, Lists};

/// Part of the pool's slots, in percent, that background work may always use.
const BACKGROUND_FLOOR_PERCENT: u32 = 5;
/// Time for which the whole pool may serve urgent work ahead of shares.
const URGENT_CREDIT: Duration = Duration::from_secs(2);

/// How one queue's work waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRule {
    /// Urgent or background.
    pub class: Class,
    /// Longest time from receipt to the end of the answer.
    pub deadline: Duration,
    /// Most items that wait at once.
    pub max_waiting: u32,
    /// Whether more than one team may send to it.
    pub multi_team: bool,
}

/// The teams and queues of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolRules {
    /// Shares by team.
    pub teams: BTreeMap<TeamId, Share>,
    /// The pool's queues.
    pub queues: BTreeMap<QueueId, QueueRule>,
    /// Part of the pool's slots, in percent, that background work may always
    /// use.
    pub floor_percent: u32,
    /// Time for which the whole pool may serve one team's urgent work ahead of
    /// the team's share. What was lent is paid back from the team's later
    /// turns, so a longer time trades nearness to shares for urgent work on
    /// time, and never changes what a team gets in the long run.
    pub urgent_credit: Duration,
}

impl PoolRules {
    /// Reads the rules of `pool` out of the lists.
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
