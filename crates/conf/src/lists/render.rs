//! Writing of both lists as text.

use std::fmt::Display;

use crate::duration;
use crate::lists::{Access, Lists, Plan, Pool, Queue};

/// Writes both lists, `plans` first. Reading them back gives the same lists.
pub fn render(lists: &Lists) -> (String, String) {
    let plans: Vec<String> = lists.plans.values().map(plan_text).collect();
    let pools = lists.pools.values().map(pool_text);
    let queues = lists.queues.values().map(queue_text);
    let uses: Vec<String> = pools.chain(queues).collect();
    (plans.join("\n"), uses.join("\n"))
}

fn plan_text(plan: &Plan) -> String {
    let keys: String = plan.keys.iter().map(|digest| format!("\n    {digest}")).collect();
    format!(
        "[plan {}]\nteam = {}\nkeys ={keys}\nshare = {}\nlimit = {}\n",
        plan.id, plan.team, plan.share, plan.limit
    )
}

fn pool_text(pool: &Pool) -> String {
    format!(
        "[pool {}]\nhosts = {}\nzones = {}\nbudget = {}\nzone-spare = {}\nperiod = {}\n\
         spare = {}\nhold = {}\n",
        pool.id,
        pool.hosts,
        joined(&pool.zones),
        pool.budget,
        flag(pool.zone_spare),
        duration::format(pool.period),
        flag(pool.spare),
        flag(pool.hold),
    )
}

fn queue_text(queue: &Queue) -> String {
    let access = match &queue.access {
        Access::Open { plan } => format!("open = {plan}"),
        Access::Plans(plans) => format!("plans = {}", joined(plans)),
    };
    format!(
        "[queue {}]\npool = {}\n{access}\nclass = {}\ndeadline = {}\nidempotent = {}\nbound = {}\n",
        queue.id,
        queue.pool,
        queue.class,
        duration::format(queue.deadline),
        flag(queue.idempotent),
        queue.bound,
    )
}

/// Writes a yes or no as the lists have it.
pub(crate) fn flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Joins items by commas.
pub(crate) fn joined<T: Display>(items: &[T]) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
