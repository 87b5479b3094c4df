//! What happens in the demo.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::PoisonError;

use snafu::{OptionExt, ResultExt, Snafu};
use vg_base::prelude::*;
use vg_events::Event;

use crate::demo::load::{self, Sent};
use crate::demo::options::DemoOptions;
use crate::demo::promises::{self, Deeds, Promise};
use crate::demo::tally::Tallies;
use crate::site::{Site, SiteError, SitePlan, node_id};

/// Time of the load.
const LOAD: Duration = Duration::from_millis(7500);
/// Pause between two of the scenario's deeds.
const STEP: Duration = Duration::from_millis(500);
/// Time in which the site has to be ready.
const READY: Duration = Duration::from_secs(5);
/// Time between the balancer's check turning red and the end of new work.
const NOTICE: Duration = Duration::from_millis(50);
/// The entry host that is restarted.
const RESTARTED: u32 = 2;

/// What the demo has to show.
#[derive(Debug)]
pub(super) struct DemoOutcome {
    /// Name of the lists.
    pub(super) site: String,
    /// Seed of the load.
    pub(super) seed: u64,
    /// What callers were told.
    pub(super) tallies: Tallies,
    /// Acknowledged jobs by the state that they ended in.
    pub(super) jobs: BTreeMap<String, usize>,
    /// The promises.
    pub(super) promises: Vec<Promise>,
    /// Where the time line is.
    pub(super) timeline: PathBuf,
    /// Events in it.
    pub(super) events: usize,
}

/// Why the demo could not be run.
#[derive(Debug, Snafu)]
pub(super) enum DemoError {
    /// The site can't be started or changed.
    #[snafu(display("{source}"), context(false))]
    Site {
        /// Cause.
        source: SiteError,
    },
    /// The site doesn't become ready.
    #[snafu(display("the site was not ready within {} s", READY.as_secs()))]
    NotReady,
    /// The lists lack something that the demo needs.
    #[snafu(display("the lists have no {what}"))]
    Lacking {
        /// What they lack.
        what: &'static str,
    },
    /// The time line can't be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Timeline {
        /// Its path.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs the demo.
pub(super) async fn run(options: &DemoOptions) -> Result<DemoOutcome, DemoError> {
    let plan = SitePlan::of_example(&options.example);
    let mut site = Site::start(plan).await?;
    let lists = site.lists()?;
    if !site.ready(READY).await {
        return NotReadySnafu.fail();
    }
    let (streams, log) = load::start(&site, &lists, options.seed, LOAD);
    let mut events = Vec::new();
    let deeds = act(&mut site, &mut events).await?;
    let jobs = load::submit_jobs(&site, &lists, &deeds.withdrawn.0).await;
    streams.join_all().await;
    let ends = load::await_jobs(&site, &jobs).await;
    let sent = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for node in site.nodes().values() {
        events.extend(node.handle.node().events.window(0, usize::MAX).events);
    }
    events.sort_by_key(|event| event.stamp);
    write_timeline(&options.timeline, &events)?;
    Ok(DemoOutcome {
        site: options.site.clone(),
        seed: options.seed,
        tallies: tally(&sent),
        jobs: count_ends(&ends),
        promises: promises::check(&site, &lists, &sent, &jobs, &ends, &deeds),
        timeline: options.timeline.clone(),
        events: events.len(),
    })
}

/// Withdraws a key, has an endpoint leave, kills another, and restarts an
/// entry host.
async fn act(site: &mut Site, events: &mut Vec<Event>) -> Result<Deeds, DemoError> {
    let lists = site.lists()?;
    tokio::time::sleep(STEP).await;
    let restricted = lists.queues.values().rev().find_map(|queue| match &queue.access {
        vg_conf::Access::Plans(plans) if plans.len() == 1 => lists.plans.get(&plans[0]),
        _ => None,
    });
    let team = restricted.context(LackingSnafu { what: "queue of one plan" })?.team.clone();
    let (_, uses) = site.texts()?;
    let plans = site.keys().grant_all_but(site.plans(), Some(&team))?;
    site.change_lists(plans, uses).await?;
    let withdrawn = (team, Instant::now());

    tokio::time::sleep(STEP).await;
    let hosts: Vec<HostId> = site.endpoints().keys().cloned().collect();
    let leaving = hosts.first().context(LackingSnafu { what: "endpoint" })?.clone();
    site.hosts().mark_leaving(&leaving);
    let leaving = (leaving, Instant::now());

    tokio::time::sleep(STEP).await;
    let killed = hosts.get(hosts.len() / 2).context(LackingSnafu { what: "endpoint" })?;
    if let Some(endpoint) = site.take_endpoint(killed) {
        endpoint.kill().await;
    }

    tokio::time::sleep(STEP).await;
    let stopped = restart(site, events).await?;
    Ok(Deeds { withdrawn, leaving, stopped })
}

async fn restart(site: &mut Site, events: &mut Vec<Event>) -> Result<bool, DemoError> {
    let id = node_id(RESTARTED);
    let Some(node) = site.take_node(&id) else {
        return LackingSnafu { what: "entry host to restart" }.fail();
    };
    let recorder = node.handle.node().events.clone();
    let stopped = node.handle.stop(NOTICE).await;
    events.extend(recorder.window(0, usize::MAX).events);
    site.start_node(&id).await?;
    Ok(stopped)
}

fn count_ends(ends: &[Option<String>]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for end in ends {
        let state = end.clone().unwrap_or_else(|| "not ended".to_owned());
        *counts.entry(state).or_default() += 1;
    }
    counts
}

fn tally(sent: &[Sent]) -> Tallies {
    let mut tallies = Tallies::new();
    for each in sent {
        let key = (each.queue.clone(), each.team.clone());
        tallies.entry(key).or_default().add(&each.answer, each.deadline);
    }
    tallies
}

fn write_timeline(path: &PathBuf, events: &[Event]) -> Result<(), DemoError> {
    let json = serde_json::to_vec(events).unwrap_or_default();
    std::fs::write(path, json).context(TimelineSnafu { path })
}
