//! Checks the guarantees: compares the answers that callers got with the work that ran.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use vg_base::prelude::*;
use vg_conf::Lists;

use crate::demo::load::{AcceptedJob, SentCall};
use crate::site::Site;

/// Time after which a withdrawn key is refused and a leaving endpoint gets no new work.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

/// A guarantee, with the number of cases that were checked and that violated it.
#[derive(Debug, Clone)]
pub(super) struct Guarantee {
    /// The guarantee in words.
    pub(super) text: &'static str,
    /// Number of cases that were checked.
    pub(super) cases: usize,
    /// Number of cases in which the guarantee was violated.
    pub(super) violated: usize,
}

/// The disturbances that the scenario caused, and when.
#[derive(Debug, Clone)]
pub(super) struct Disturbances {
    /// The team whose key was withdrawn, and when the new lists were stored.
    pub(super) withdrawn: (TeamId, Instant),
    /// The host that the host list shows as leaving, and since when.
    pub(super) leaving: (HostId, Instant),
    /// Whether the planned stop of an entry host finished or handed over all work.
    pub(super) stop_complete: bool,
}

/// Checks all guarantees that the demo can check. `final_states` are those of `jobs`, in
/// the same order. A job without a final state counts as lost.
pub(super) fn check(
    site: &Site,
    lists: &Lists,
    sent: &[SentCall],
    jobs: &[AcceptedJob],
    final_states: &[Option<String>],
    disturbances: &Disturbances,
) -> Vec<Guarantee> {
    vec![
        at_most_once(site, sent, jobs),
        Guarantee {
            text: "an acknowledged job is never lost",
            cases: jobs.len(),
            violated: final_states.iter().filter(|state| state.is_none()).count(),
        },
        refusals_did_not_run(site, sent),
        answers_match_requests(sent),
        team_limits(site, lists),
        endpoint_slots(site),
        withdrawn_key(sent, disturbances),
        leaving_endpoint(site, disturbances),
        Guarantee {
            text: "a planned stop is graceful and cuts nothing",
            cases: 1,
            violated: usize::from(!disturbances.stop_complete),
        },
    ]
}

/// No request of a non-idempotent queue ran more than once.
fn at_most_once(site: &Site, sent: &[SentCall], jobs: &[AcceptedJob]) -> Guarantee {
    let jobs = jobs.iter().filter(|job| !job.idempotent).map(|job| job.id.clone());
    let checked: BTreeSet<String> = sent
        .iter()
        .filter(|each| !each.idempotent)
        .filter_map(|each| each.answer.request_id)
        .map(|request| request.to_string())
        .chain(jobs)
        .collect();
    let repeated = site.run_log().repeated_requests();
    let violated = repeated.iter().filter(|request| checked.contains(request.as_str())).count();
    Guarantee { text: "non-idempotent work runs at most once", cases: checked.len(), violated }
}

/// A request that was refused as "not run" has no run.
fn refusals_did_not_run(site: &Site, sent: &[SentCall]) -> Guarantee {
    let refused = sent.iter().filter(|each| each.answer.outcome == Outcome::NotRun);
    let requests: Vec<String> = refused
        .filter_map(|each| each.answer.request_id)
        .map(|request| request.to_string())
        .collect();
    let violated = requests.iter().filter(|request| site.run_log().runs_of(request) > 0).count();
    Guarantee { text: "a refusal that says \"not run\" is true", cases: requests.len(), violated }
}

/// An endpoint's answer repeats the body of its request, so that an answer that was cut or
/// belongs to another request is found.
fn answers_match_requests(sent: &[SentCall]) -> Guarantee {
    let answered: Vec<&SentCall> =
        sent.iter().filter(|each| each.answer.outcome == Outcome::Answered).collect();
    let differs = |each: &&&SentCall| {
        let body: Option<Value> = serde_json::from_slice(&each.answer.body).ok();
        body.is_none_or(|body| body["body"] != each.body.as_str())
    };
    let violated = answered.iter().filter(differs).count();
    let text = "a caller gets the whole answer to its own request";
    Guarantee { text, cases: answered.len(), violated }
}

/// No team had more work running at once than the limit of its plan. A case is a plan.
fn team_limits(site: &Site, lists: &Lists) -> Guarantee {
    let exceeds =
        |team: &TeamId, limit: Permits| site.run_log().peak(team.as_str()) > limit.get() as usize;
    let violated = lists.plans.values().filter(|plan| exceeds(&plan.team, plan.limit)).count();
    let text = "no team runs more than its upper limit";
    Guarantee { text, cases: lists.plans.len(), violated }
}

/// No endpoint counted a call beyond its slots. A case is a run on any host.
fn endpoint_slots(site: &Site) -> Guarantee {
    let counts = site.endpoints().values().map(|endpoint| endpoint.counts().over_slots);
    let violated = counts.sum::<u64>() as usize;
    let text = "no endpoint gets more calls at once than it has slots";
    Guarantee { text, cases: site.run_log().total(), violated }
}

/// Calls that are sent with the withdrawn key later than [`CHANGE_LIMIT`] after its withdrawal
/// are refused.
fn withdrawn_key(sent: &[SentCall], disturbances: &Disturbances) -> Guarantee {
    let (team, withdrawn_at) = &disturbances.withdrawn;
    let after = sent
        .iter()
        .filter(|each| each.team == *team && each.sent_at > *withdrawn_at + CHANGE_LIMIT);
    let after: Vec<&SentCall> = after.collect();
    let violated = after.iter().filter(|each| each.answer.outcome != Outcome::NotRun).count();
    Guarantee { text: "a withdrawn key stops within 3 s", cases: after.len(), violated }
}

/// The leaving host starts no work later than [`CHANGE_LIMIT`] after the host list shows it as
/// leaving.
fn leaving_endpoint(site: &Site, disturbances: &Disturbances) -> Guarantee {
    let (host, leaving_since) = &disturbances.leaving;
    // Number of the host's runs, by whether they started too late.
    let mut runs: BTreeMap<bool, usize> = BTreeMap::new();
    for run in site.run_log().runs().iter().filter(|run| run.host == *host) {
        *runs.entry(run.start > *leaving_since + CHANGE_LIMIT).or_default() += 1;
    }
    let cases = runs.values().sum();
    let violated = runs.get(&true).copied().unwrap_or_default();
    Guarantee { text: "a leaving endpoint gets nothing new after 3 s", cases, violated }
}
