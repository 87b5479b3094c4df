//! Warnings about lists that are valid but probably not what was intended.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Serialize;
use vg_base::prelude::*;

use crate::lists::{Access, Lists, Plan, Pool};

/// Something valid that an operator may have overlooked.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Warning {
    /// The plan has no keys, but queues that need a key name it.
    #[display("plan {plan} has no keys: its team can't send to queues that need one")]
    NoKeys {
        /// The plan.
        plan: PlanId,
    },
    /// No queue names the plan.
    #[display("no queue names plan {plan}: its team can't send anything")]
    PlanUnused {
        /// The plan.
        plan: PlanId,
    },
    /// No queue names the pool, and its hosts are not lent to other pools.
    #[display("no queue names pool {pool}, and it is not a spare pool: its hosts stay idle")]
    PoolUnused {
        /// The pool.
        pool: PoolId,
    },
    /// The availability budget of the pool is 0.
    #[display("pool {pool} has a budget of 0: its hosts are never maintained")]
    NoBudget {
        /// The pool.
        pool: PoolId,
    },
    /// The pool is meant to survive the loss of a zone but has only one zone.
    #[display(
        "pool {pool} has zone-spare but a single zone: it can't survive the loss of that zone"
    )]
    OneZone {
        /// The pool.
        pool: PoolId,
    },
}

/// Returns all warnings, those about plans first.
pub fn warnings(lists: &Lists) -> Vec<Warning> {
    let named_with_key = named_plans(lists, |access| matches!(access, Access::Plans(_)));
    let named = named_plans(lists, |_| true);
    let plans = lists.plans.values().filter_map(|plan| plan_warning(plan, &named_with_key, &named));
    let pools = lists.pools.values().flat_map(|pool| pool_warnings(lists, pool));
    plans.chain(pools).collect()
}

/// Returns the plans that are named by a queue whose access passes `kind`.
fn named_plans(lists: &Lists, kind: impl Fn(&Access) -> bool) -> BTreeSet<&PlanId> {
    let access = lists.queues.values().map(|queue| &queue.access).filter(|access| kind(access));
    let plans = access.flat_map(|access| match access {
        Access::Open { plan } => std::slice::from_ref(plan),
        Access::Plans(plans) => plans,
    });
    plans.collect()
}

fn plan_warning(
    plan: &Plan,
    named_with_key: &BTreeSet<&PlanId>,
    named: &BTreeSet<&PlanId>,
) -> Option<Warning> {
    let id = plan.id.clone();
    if !named.contains(&id) {
        return Some(Warning::PlanUnused { plan: id });
    }
    let no_keys = plan.keys.is_empty() && named_with_key.contains(&id);
    no_keys.then_some(Warning::NoKeys { plan: id })
}

fn pool_warnings(lists: &Lists, pool: &Pool) -> Vec<Warning> {
    let id = || pool.id.clone();
    let named = lists.queues.values().any(|queue| queue.pool == pool.id);
    let mut warnings = Vec::new();
    if !named && !pool.spare {
        warnings.push(Warning::PoolUnused { pool: id() });
    }
    if pool.budget == 0 {
        warnings.push(Warning::NoBudget { pool: id() });
    }
    if pool.zone_spare && pool.zones.len() == 1 {
        warnings.push(Warning::OneZone { pool: id() });
    }
    warnings
}
