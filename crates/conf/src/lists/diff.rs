//! What a change of the lists means.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use derive_more::Display;
use serde::Serialize;
use vg_base::prelude::*;

use crate::lists::render::{flag, joined};
use crate::lists::{Access, KeyDigest, Lists, Plan, Pool, Queue};
use crate::span;

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

/// What a difference does to a team.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The team may do more than before.
    #[display("{_0} gains")]
    Gains(TeamId),
    /// The team may do less than before.
    #[display("{_0} loses")]
    Loses(TeamId),
    /// Work of the team that was accepted before is refused.
    #[display("work of {_0} will be refused")]
    Refused(TeamId),
    /// Work without a key that was accepted before is refused.
    #[display("work without a key will be refused")]
    RefusedWithoutKey,
    /// The section's teams are not concerned.
    #[display("no team gains or loses")]
    Neutral,
}

/// One key of one section that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The section.
    pub subject: Subject,
    /// The key; `section` for a section that comes or goes.
    pub key: &'static str,
    /// Value before; `None`: not there.
    pub before: Option<String>,
    /// Value after; `None`: not there.
    pub after: Option<String>,
    /// What it does, one effect a team.
    pub effects: Vec<Effect>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.key)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, " {before} -> {after}")?,
            (None, Some(after)) => write!(f, " added {after}")?,
            (Some(before), None) => write!(f, " removed {before}")?,
            (None, None) => {}
        }
        let effects: Vec<String> = self.effects.iter().map(ToString::to_string).collect();
        if effects.is_empty() { Ok(()) } else { write!(f, " ({})", effects.join(", ")) }
    }
}

/// Lists the differences between two states of the lists, plans first.
pub fn diff(before: &Lists, after: &Lists) -> Vec<Difference> {
    let mut differ = Differ { before, after, found: Vec::new() };
    for (id, old, new) in pairs(&before.plans, &after.plans) {
        differ.plan(id, old, new);
    }
    for (id, old, new) in pairs(&before.pools, &after.pools) {
        differ.pool(id, old, new);
    }
    for (id, old, new) in pairs(&before.queues, &after.queues) {
        differ.queue(id, old, new);
    }
    differ.found
}

type Pair<'a, K, V> = (&'a K, Option<&'a V>, Option<&'a V>);

fn pairs<'a, K: Ord, V>(
    before: &'a BTreeMap<K, V>,
    after: &'a BTreeMap<K, V>,
) -> Vec<Pair<'a, K, V>> {
    let ids: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    ids.into_iter().map(|id| (id, before.get(id), after.get(id))).collect()
}

struct Differ<'a> {
    before: &'a Lists,
    after: &'a Lists,
    found: Vec<Difference>,
}

impl Differ<'_> {
    fn plan(&mut self, id: &PlanId, old: Option<&Plan>, new: Option<&Plan>) {
        let subject = Subject::Plan(id.clone());
        match (old, new) {
            (Some(old), Some(new)) => self.plan_keys(&subject, old, new),
            (None, Some(new)) => {
                let text = format!("share {}, limit {}", new.share, new.limit);
                self.add(&subject, "section", None, Some(text), vec![gains(&new.team)]);
            }
            (Some(old), None) => {
                let text = format!("share {}, limit {}", old.share, old.limit);
                self.add(&subject, "section", Some(text), None, vec![refused(&old.team)]);
            }
            (None, None) => {}
        }
    }

    fn plan_keys(&mut self, subject: &Subject, old: &Plan, new: &Plan) {
        if old.team != new.team {
            let effects = vec![refused(&old.team), gains(&new.team)];
            self.change(subject, "team", &old.team, &new.team, effects);
        }
        self.digests(subject, old, new);
        if old.share != new.share {
            let effects = vec![by_order(&new.team, old.share < new.share)];
            self.change(subject, "share", &old.share, &new.share, effects);
        }
        if old.limit != new.limit {
            let effects = vec![by_order(&new.team, old.limit < new.limit)];
            self.change(subject, "limit", &old.limit, &new.limit, effects);
        }
    }

    fn digests(&mut self, subject: &Subject, old: &Plan, new: &Plan) {
        let (old_keys, new_keys) = (digests(old), digests(new));
        for digest in new_keys.difference(&old_keys) {
            let effects = vec![gains(&new.team)];
            self.add(subject, "keys", None, Some(digest.to_string()), effects);
        }
        for digest in old_keys.difference(&new_keys) {
            let effects = vec![refused(&old.team)];
            self.add(subject, "keys", Some(digest.to_string()), None, effects);
        }
    }

    fn pool(&mut self, id: &PoolId, old: Option<&Pool>, new: Option<&Pool>) {
        let subject = Subject::Pool(id.clone());
        let hosts = |pool: &Pool| format!("{} hosts", pool.hosts);
        match (old, new) {
            (Some(old), Some(new)) => self.pool_keys(&subject, old, new),
            (old, new) => {
                self.add(&subject, "section", old.map(hosts), new.map(hosts), Vec::new());
            }
        }
    }

    fn pool_keys(&mut self, subject: &Subject, old: &Pool, new: &Pool) {
        let rows = [
            ("hosts", old.hosts.to_string(), new.hosts.to_string()),
            ("zones", joined(&old.zones), joined(&new.zones)),
            ("budget", old.budget.to_string(), new.budget.to_string()),
            ("zone-spare", flag(old.zone_spare).into(), flag(new.zone_spare).into()),
            ("period", span::format(old.period), span::format(new.period)),
            ("spare", flag(old.spare).into(), flag(new.spare).into()),
            ("hold", flag(old.hold).into(), flag(new.hold).into()),
        ];
        for (key, old, new) in rows.into_iter().filter(|(_, old, new)| old != new) {
            self.change(subject, key, &old, &new, Vec::new());
        }
    }

    fn queue(&mut self, id: &QueueId, old: Option<&Queue>, new: Option<&Queue>) {
        let subject = Subject::Queue(id.clone());
        if let (Some(old), Some(new)) = (old, new) {
            return self.queue_keys(&subject, old, new);
        }
        let text = |queue: &Queue| format!("{} on pool {}", queue.class, queue.pool);
        let effects = self.access_effects(old, new);
        self.add(&subject, "section", old.map(text), new.map(text), effects);
    }

    fn queue_keys(&mut self, subject: &Subject, old: &Queue, new: &Queue) {
        if old.access != new.access {
            let effects = self.access_effects(Some(old), Some(new));
            self.change(subject, "access", &access(old), &access(new), effects);
        }
        let rows = [
            ("pool", old.pool.to_string(), new.pool.to_string()),
            ("class", old.class.to_string(), new.class.to_string()),
            ("deadline", span::format(old.deadline), span::format(new.deadline)),
            ("idempotent", flag(old.idempotent).into(), flag(new.idempotent).into()),
            ("bound", old.bound.to_string(), new.bound.to_string()),
        ];
        for (key, old, new) in rows.into_iter().filter(|(_, old, new)| old != new) {
            self.change(subject, key, &old, &new, Vec::new());
        }
    }

    /// Says which teams may send to a queue after a change, or no longer may.
    fn access_effects(&self, old: Option<&Queue>, new: Option<&Queue>) -> Vec<Effect> {
        let old_teams = senders(self.before, old);
        let new_teams = senders(self.after, new);
        let mut effects: Vec<Effect> = new_teams.difference(&old_teams).map(gains).collect();
        effects.extend(old_teams.difference(&new_teams).map(refused));
        let open = |queue: &Queue| matches!(queue.access, Access::Open { .. });
        if old.is_some_and(open) && !new.is_some_and(open) {
            effects.push(Effect::RefusedWithoutKey);
        }
        effects
    }

    fn change<T: fmt::Display>(
        &mut self,
        subject: &Subject,
        key: &'static str,
        before: &T,
        after: &T,
        effects: Vec<Effect>,
    ) {
        self.add(subject, key, Some(before.to_string()), Some(after.to_string()), effects);
    }

    fn add(
        &mut self,
        subject: &Subject,
        key: &'static str,
        before: Option<String>,
        after: Option<String>,
        effects: Vec<Effect>,
    ) {
        self.found.push(Difference { subject: subject.clone(), key, before, after, effects });
    }
}

fn digests(plan: &Plan) -> BTreeSet<KeyDigest> {
    plan.keys.iter().copied().collect()
}

fn access(queue: &Queue) -> String {
    match &queue.access {
        Access::Open { plan } => format!("open as {plan}"),
        Access::Plans(plans) => joined(plans),
    }
}

/// Teams that may send to a queue with their keys.
fn senders(lists: &Lists, queue: Option<&Queue>) -> BTreeSet<TeamId> {
    let Some(queue) = queue else { return BTreeSet::new() };
    let named = |plan: &&Plan| match &queue.access {
        Access::Open { .. } => true,
        Access::Plans(ids) => ids.contains(&plan.id),
    };
    lists.plans.values().filter(named).map(|plan| plan.team.clone()).collect()
}

fn gains(team: &TeamId) -> Effect {
    Effect::Gains(team.clone())
}

fn refused(team: &TeamId) -> Effect {
    Effect::Refused(team.clone())
}

fn by_order(team: &TeamId, more: bool) -> Effect {
    if more { gains(team) } else { Effect::Loses(team.clone()) }
}
