//! The comparison, section by section.

use std::collections::BTreeSet;
use std::fmt;

use vg_base::prelude::*;

use crate::duration;
use crate::lists::diff::{Difference, Effect, Subject};
use crate::lists::render::{flag, joined};
use crate::lists::{Access, KeyDigest, Lists, Plan, Pool, Queue};

/// Collects the differences between two states.
pub(super) struct Differ<'a> {
    before: &'a Lists,
    after: &'a Lists,
    pub(super) found: Vec<Difference>,
}

impl<'a> Differ<'a> {
    pub(super) fn new(before: &'a Lists, after: &'a Lists) -> Differ<'a> {
        Differ { before, after, found: Vec::new() }
    }

    pub(super) fn plan(&mut self, id: &PlanId, old: Option<&Plan>, new: Option<&Plan>) {
        let subject = Subject::Plan(id.clone());
        match (old, new) {
            (Some(old), Some(new)) => self.plan_keys(&subject, old, new),
            (None, Some(new)) => {
                let text = format!("share {}, limit {}", new.share, new.limit);
                self.add(&subject, "section", None, Some(text), vec![Effect::gains(&new.team)]);
            }
            (Some(old), None) => {
                let text = format!("share {}, limit {}", old.share, old.limit);
                self.add(&subject, "section", Some(text), None, vec![Effect::refused(&old.team)]);
            }
            (None, None) => {}
        }
    }

    fn plan_keys(&mut self, subject: &Subject, old: &Plan, new: &Plan) {
        if old.team != new.team {
            let effects = vec![Effect::refused(&old.team), Effect::gains(&new.team)];
            self.change(subject, "team", &old.team, &new.team, effects);
        }
        self.digests(subject, old, new);
        if old.share != new.share {
            let effects = vec![Effect::by_order(&new.team, old.share < new.share)];
            self.change(subject, "share", &old.share, &new.share, effects);
        }
        if old.limit != new.limit {
            let effects = vec![Effect::by_order(&new.team, old.limit < new.limit)];
            self.change(subject, "limit", &old.limit, &new.limit, effects);
        }
    }

    fn digests(&mut self, subject: &Subject, old: &Plan, new: &Plan) {
        let (old_keys, new_keys) = (digests(old), digests(new));
        for digest in new_keys.difference(&old_keys) {
            let effects = vec![Effect::gains(&new.team)];
            self.add(subject, "keys", None, Some(digest.to_string()), effects);
        }
        for digest in old_keys.difference(&new_keys) {
            let effects = vec![Effect::KeyRefused(old.team.clone())];
            self.add(subject, "keys", Some(digest.to_string()), None, effects);
        }
    }

    pub(super) fn pool(&mut self, id: &PoolId, old: Option<&Pool>, new: Option<&Pool>) {
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
            ("period", duration::format(old.period), duration::format(new.period)),
            ("spare", flag(old.spare).into(), flag(new.spare).into()),
            ("hold", flag(old.hold).into(), flag(new.hold).into()),
        ];
        for (key, old, new) in rows.into_iter().filter(|(_, old, new)| old != new) {
            self.change(subject, key, &old, &new, Vec::new());
        }
    }

    pub(super) fn queue(&mut self, id: &QueueId, old: Option<&Queue>, new: Option<&Queue>) {
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
            ("deadline", duration::format(old.deadline), duration::format(new.deadline)),
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
        let mut effects: Vec<Effect> =
            new_teams.difference(&old_teams).map(Effect::gains).collect();
        effects.extend(old_teams.difference(&new_teams).map(Effect::refused));
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
