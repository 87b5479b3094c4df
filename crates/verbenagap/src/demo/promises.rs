//! Comparison of what callers were told with what really ran.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use vg_base::prelude::*;
use vg_conf::Lists;

use crate::demo::load::{Sent, SentJob};
use crate::site::Site;

/// Time after which a withdrawn key and a leaving endpoint get nothing more.
const SETTLED: Duration = Duration::from_secs(3);

/// A promise with how often it was tried and broken.
#[derive(Debug, Clone)]
pub(super) struct Promise {
    /// What is promised.
    pub(super) text: &'static str,
    /// Cases that were looked at.
    pub(super) cases: usize,
    /// Cases in which it was broken.
    pub(super) broken: usize,
}

/// What the scenario did, and when.
#[derive(Debug, Clone)]
pub(super) struct Deeds {
    /// Team whose key was withdrawn.
    pub(super) withdrawn: (TeamId, Instant),
    /// Host that the list showed as leaving.
    pub(super) leaving: (HostId, Instant),
    /// Whether the planned stop of an entry host finished all work.
    pub(super) stopped: bool,
}

/// Checks all promises that the demo can check.
pub(super) fn check(
    site: &Site,
    lists: &Lists,
    sent: &[Sent],
    jobs: &[SentJob],
    ends: &[Option<String>],
    deeds: &Deeds,
) -> Vec<Promise> {
    vec![
        at_most_once(site, sent, jobs),
        Promise {
            text: "an acknowledged job is never lost",
            cases: jobs.len(),
            broken: ends.iter().filter(|end| end.is_none()).count(),
        },
        true_refusals(site, sent),
        whole_answers(sent),
        upper_limits(site, lists),
        slots(site),
        withdrawn_key(sent, deeds),
        leaving_endpoint(site, deeds),
        Promise {
            text: "a planned stop is graceful and cuts nothing",
            cases: 1,
            broken: usize::from(!deeds.stopped),
        },
    ]
}

fn at_most_once(site: &Site, sent: &[Sent], jobs: &[SentJob]) -> Promise {
    let jobs = jobs.iter().filter(|job| !job.idempotent).map(|job| job.id.clone());
    let once: BTreeSet<String> = sent
        .iter()
        .filter(|each| !each.idempotent)
        .filter_map(|each| each.answer.request)
        .map(|request| request.to_string())
        .chain(jobs)
        .collect();
    let runs = site.log().repeated_requests();
    let broken = runs.iter().filter(|request| once.contains(request.as_str())).count();
    Promise { text: "non-idempotent work runs at most once", cases: once.len(), broken }
}

fn true_refusals(site: &Site, sent: &[Sent]) -> Promise {
    let refused = sent.iter().filter(|each| each.answer.outcome == Outcome::NotRun);
    let requests: Vec<String> =
        refused.filter_map(|each| each.answer.request).map(|request| request.to_string()).collect();
    let broken = requests.iter().filter(|request| site.log().runs_of(request) > 0).count();
    Promise { text: "a refusal that says \"not run\" is true", cases: requests.len(), broken }
}

/// An endpoint's answer repeats the id and the body of its request.
fn whole_answers(sent: &[Sent]) -> Promise {
    let answered: Vec<&Sent> =
        sent.iter().filter(|each| each.answer.outcome == Outcome::Answered).collect();
    let wrong = |each: &&&Sent| {
        let told: Option<Value> = serde_json::from_slice(&each.answer.body).ok();
        told.is_none_or(|told| told["body"] != each.body.as_str())
    };
    let broken = answered.iter().filter(wrong).count();
    let text = "a caller gets the whole answer to its own request";
    Promise { text, cases: answered.len(), broken }
}

fn upper_limits(site: &Site, lists: &Lists) -> Promise {
    let over =
        |team: &TeamId, limit: Permits| site.log().peak(team.as_str()) > limit.get() as usize;
    let broken = lists.plans.values().filter(|plan| over(&plan.team, plan.limit)).count();
    let text = "no team runs more than its upper limit";
    Promise { text, cases: lists.plans.len(), broken }
}

fn slots(site: &Site) -> Promise {
    let counts = site.endpoints().values().map(|endpoint| endpoint.counts().over_slots);
    let broken = counts.sum::<u64>() as usize;
    let text = "no endpoint gets more calls at once than it has slots";
    Promise { text, cases: site.log().total(), broken }
}

fn withdrawn_key(sent: &[Sent], deeds: &Deeds) -> Promise {
    let (team, at) = &deeds.withdrawn;
    let after = sent.iter().filter(|each| each.team == *team && each.at > *at + SETTLED);
    let after: Vec<&Sent> = after.collect();
    let broken = after.iter().filter(|each| each.answer.outcome != Outcome::NotRun).count();
    Promise { text: "a withdrawn key stops within 3 s", cases: after.len(), broken }
}

fn leaving_endpoint(site: &Site, deeds: &Deeds) -> Promise {
    let (host, at) = &deeds.leaving;
    let mut runs: BTreeMap<bool, usize> = BTreeMap::new();
    for run in site.log().runs().iter().filter(|run| run.host == *host) {
        *runs.entry(run.start > *at + SETTLED).or_default() += 1;
    }
    let cases = runs.values().sum();
    let broken = runs.get(&true).copied().unwrap_or_default();
    Promise { text: "a leaving endpoint gets nothing new after 3 s", cases, broken }
}
