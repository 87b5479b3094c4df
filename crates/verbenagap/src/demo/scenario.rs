//! The sequence of load and disturbances in the demo.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::PoisonError;

use snafu::{OptionExt, ResultExt, Snafu};
use vg_base::prelude::*;
use vg_events::Event;

use crate::demo::guarantees::{self, Disturbances, Guarantee};
use crate::demo::load::{self, SentCall};
use crate::demo::options::DemoOptions;
use crate::demo::tally::Tallies;
use crate::site::{Site, SiteError, SitePlan, node_id};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_millis(7500);
/// Pause before each disturbance.
const DISTURBANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from when the readiness check starts to fail until the stopping node refuses new
/// work.
const STOP_NOTICE: Duration = Duration::from_millis(50);
/// Index of the entry host that is restarted.
const RESTARTED_NODE: u32 = 2;

/// The results of the demo.
#[derive(Debug)]
pub(super) struct DemoOutcome {
    /// The name of the example whose lists were used.
    pub(super) site: String,
    /// The seed of the random load.
    pub(super) seed: u64,
    /// Counts of the answers that callers got.
    pub(super) tallies: Tallies,
    /// Number of acknowledged jobs by final state.
    pub(super) jobs: BTreeMap<String, usize>,
    /// The guarantees that were checked.
    pub(super) guarantees: Vec<Guarantee>,
    /// The file that the time line was written to.
    pub(super) timeline: PathBuf,
    /// Number of events in the time line.
    pub(super) events: usize,
}

/// An error that prevents the demo from running to its end.
#[derive(Debug, Snafu)]
pub(super) enum DemoError {
    /// The site cannot be started or changed.
    #[snafu(display("{source}"), context(false))]
    Site {
        /// The cause.
        source: SiteError,
    },
    /// The site does not become ready in time.
    #[snafu(display("the site was not ready within {} s", READY_TIMEOUT.as_secs()))]
    NotReady,
    /// The site has nothing of a kind that the demo needs.
    #[snafu(display("the site has no {what}"))]
    Missing {
        /// The kind that is missing.
        what: &'static str,
    },
    /// The file of the time line cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Timeline {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs the demo: starts a site, loads and disturbs it, and checks the guarantees.
pub(super) async fn run(options: &DemoOptions) -> Result<DemoOutcome, DemoError> {
    let plan = SitePlan::from_example(&options.example);
    let mut site = Site::start(plan).await?;
    let lists = site.lists()?;
    if !site.wait_ready(READY_TIMEOUT).await {
        return NotReadySnafu.fail();
    }
    let (streams, log) = load::start(&site, &lists, options.seed, LOAD_DURATION);
    let mut events = Vec::new();
    let disturbances = disturb(&mut site, &mut events).await?;
    let jobs = load::submit_jobs(&site, &lists, &disturbances.withdrawn.0).await;
    streams.join_all().await;
    let final_states = load::await_final_states(&site, &jobs).await;
    let sent = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for node in site.nodes().values() {
        events.extend(node.handle.node().events.window(0, usize::MAX).events);
    }
    events.sort_by_key(|event| event.stamp);
    write_timeline(&options.timeline, &events)?;
    Ok(DemoOutcome {
        site: options.site.clone(),
        seed: options.seed,
        tallies: tally_answers(&sent),
        jobs: count_states(&final_states),
        guarantees: guarantees::check(&site, &lists, &sent, &jobs, &final_states, &disturbances),
        timeline: options.timeline.clone(),
        events: events.len(),
    })
}

/// Withdraws a key, marks an endpoint as leaving, kills another endpoint and restarts an
/// entry host. Adds the events of the stopped entry host to `events`.
async fn disturb(site: &mut Site, events: &mut Vec<Event>) -> Result<Disturbances, DemoError> {
    let lists = site.lists()?;
    tokio::time::sleep(DISTURBANCE_INTERVAL).await;
    // The plan of a queue that only this plan may use.
    let restricted = lists.queues.values().rev().find_map(|queue| match &queue.access {
        vg_conf::Access::Plans(plans) if plans.len() == 1 => lists.plans.get(&plans[0]),
        _ => None,
    });
    let team = restricted.context(MissingSnafu { what: "queue of one plan" })?.team.clone();
    let (_, uses) = site.list_texts()?;
    let plans = site.team_keys().grant_all_except(site.plans(), Some(&team))?;
    site.change_lists(plans, uses).await?;
    let withdrawn = (team, Instant::now());

    tokio::time::sleep(DISTURBANCE_INTERVAL).await;
    let hosts: Vec<HostId> = site.endpoints().keys().cloned().collect();
    let leaving = hosts.first().context(MissingSnafu { what: "endpoint" })?.clone();
    site.host_list().mark_leaving(&leaving);
    let leaving = (leaving, Instant::now());

    tokio::time::sleep(DISTURBANCE_INTERVAL).await;
    let killed = hosts.get(hosts.len() / 2).context(MissingSnafu { what: "endpoint" })?;
    if let Some(endpoint) = site.take_endpoint(killed) {
        endpoint.kill().await;
    }

    tokio::time::sleep(DISTURBANCE_INTERVAL).await;
    let stop_complete = restart_node(site, events).await?;
    Ok(Disturbances { withdrawn, leaving, stop_complete })
}

/// Stops an entry host gracefully, keeps its events and starts it again. Returns whether
/// the stop finished or handed over all work.
async fn restart_node(site: &mut Site, events: &mut Vec<Event>) -> Result<bool, DemoError> {
    let id = node_id(RESTARTED_NODE);
    let Some(node) = site.take_node(&id) else {
        return MissingSnafu { what: "entry host to restart" }.fail();
    };
    let recorder = node.handle.node().events.clone();
    let stop_complete = node.handle.stop(STOP_NOTICE).await;
    events.extend(recorder.window(0, usize::MAX).events);
    site.start_node(&id).await?;
    Ok(stop_complete)
}

/// Counts the jobs by final state.
fn count_states(final_states: &[Option<String>]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for state in final_states {
        let state = state.clone().unwrap_or_else(|| "not ended".to_owned());
        *counts.entry(state).or_default() += 1;
    }
    counts
}

/// Counts the answers by queue and team.
fn tally_answers(sent: &[SentCall]) -> Tallies {
    let mut tallies = Tallies::new();
    for each in sent {
        let key = (each.queue.clone(), each.team.clone());
        tallies.entry(key).or_default().add(&each.answer, each.deadline);
    }
    tallies
}

/// Writes the events as a JSON array.
fn write_timeline(path: &PathBuf, events: &[Event]) -> Result<(), DemoError> {
    let json = serde_json::to_vec(events).unwrap_or_default();
    std::fs::write(path, json).context(TimelineSnafu { path })
}
