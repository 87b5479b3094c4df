//! What is allowed in the lists but seldom meant.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Serialize;
use vg_base::prelude::*;

use crate::lists::{Access, Lists, Plan, Pool};

/// Something that an operator may have overlooked.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Warning {
    /// The plan has no keys but is named by queues that need one.
    #[display("plan {plan} has no keys: its team can't send to queues that need one")]
    NoKeys {
        /// The plan.
        plan: PlanId,
    },
    /// No queue names the plan.
    #[display("no queue names plan {plan}: its team can send nothing")]
    PlanUnused {
        /// The plan.
        plan: PlanId,
    },
    /// No queue names the pool, and it is not lent to others.
    #[display("no queue names pool {pool}, and it is no spare: its hosts do nothing")]
    PoolUnused {
        /// The pool.
        pool: PoolId,
    },
    /// The pool has no availability budget.
    #[display("pool {pool} has a budget of 0: its hosts are never maintained")]
    NoBudget {
        /// The pool.
        pool: PoolId,
    },
    /// The pool is to outlive a zone but has only one.
    #[display("pool {pool} has zone-spare but a single zone: it can't outlive that one")]
    OneZone {
        /// The pool.
        pool: PoolId,
    },
}

/// Lists what an operator may have overlooked.
pub fn warnings(lists: &Lists) -> Vec<Warning> {
    let keyed = plans_of(lists, |access| matches!(access, Access::Plans(_)));
    let used = plans_of(lists, |_| true);
    let plans = lists.plans.values().filter_map(|plan| of_plan(plan, &keyed, &used));
    let pools = lists.pools.values().flat_map(|pool| of_pool(lists, pool));
    plans.chain(pools).collect()
}

/// Returns the plans that queues with some kind of access name.
fn plans_of(lists: &Lists, kind: impl Fn(&Access) -> bool) -> BTreeSet<&PlanId> {
    let access = lists.queues.values().map(|queue| &queue.access).filter(|access| kind(access));
    let named = access.flat_map(|access| match access {
        Access::Open { plan } => std::slice::from_ref(plan),
        Access::Plans(plans) => plans,
    });
    named.collect()
}

fn of_plan(plan: &Plan, keyed: &BTreeSet<&PlanId>, used: &BTreeSet<&PlanId>) -> Option<Warning> {
    let id = plan.id.clone();
    if !used.contains(&id) {
        return Some(Warning::PlanUnused { plan: id });
    }
    let no_keys = plan.keys.is_empty() && keyed.contains(&id);
    no_keys.then_some(Warning::NoKeys { plan: id })
}

fn of_pool(lists: &Lists, pool: &Pool) -> Vec<Warning> {
    let id = || pool.id.clone();
    let used = lists.queues.values().any(|queue| queue.pool == pool.id);
    let mut found = Vec::new();
    if !used && !pool.spare {
        found.push(Warning::PoolUnused { pool: id() });
    }
    if pool.budget == 0 {
        found.push(Warning::NoBudget { pool: id() });
    }
    if pool.zone_spare && pool.zones.len() == 1 {
        found.push(Warning::OneZone { pool: id() });
    }
    found
}
