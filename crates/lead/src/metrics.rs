//! Prometheus metrics of one host.

use prometheus::{
    Encoder, Error, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use vg_base::prelude::*;
use vg_flow::{Counts, PoolContention};

use crate::client_gauges::ClientGauges;
use crate::learned_gauges::LearnedGauges;
use crate::store_gauges::StoreGauges;
use crate::team_gauges::TeamGauges;
use crate::wait_gauges::WaitGauges;
use crate::zone_gauges::ZoneGauges;

/// Upper bounds of the latency histogram buckets in seconds.
const LATENCY_BOUNDS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Counters, gauges and latency histograms of one host; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    submissions: IntCounterVec,
    answers: IntCounterVec,
    latency: HistogramVec,
    commands: IntCounterVec,
    commits: IntCounterVec,
    leading: IntGauge,
    loop_delay: IntGauge,
    scheduler: IntGaugeVec,
    pub(crate) store: StoreGauges,
    pub(crate) clients: ClientGauges,
    pub(crate) zones: ZoneGauges,
    pub(crate) learned: LearnedGauges,
    teams: TeamGauges,
    pub(crate) waits: WaitGauges,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, Error>(counter)
        };
        let submissions =
            counter("vg_submissions_total", "Jobs handed in, by outcome.", "outcome")?;
        let answers = counter("vg_answers_total", "Answers to callers, by status.", "status")?;
        let commands = counter("vg_orders_total", "Orders to workers, by answer.", "answer")?;
        let commits = counter("vg_commits_total", "Commits of the leader, by outcome.", "outcome")?;
        let options = HistogramOpts::new("vg_call_seconds", "Time to answer callers, by call.");
        let latency = HistogramVec::new(options.buckets(LATENCY_BOUNDS_S.to_vec()), &["call"])?;
        registry.register(Box::new(latency.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, Error>(gauge)
        };
        let leading = gauge("vg_leading", "1 while this host leads.")?;
        let delay_help = "Milliseconds by which a timer was late last.";
        let loop_delay = gauge("vg_loop_delay_ms", delay_help)?;
        let scheduler =
            IntGaugeVec::new(Opts::new("vg_flow", "The leader's tables and totals."), &["what"])?;
        registry.register(Box::new(scheduler.clone()))?;
        Ok(Metrics {
            submissions,
            answers,
            latency,
            commands,
            commits,
            leading,
            loop_delay,
            scheduler,
            store: StoreGauges::new(&registry)?,
            clients: ClientGauges::new(&registry)?,
            zones: ZoneGauges::new(&registry)?,
            learned: LearnedGauges::new(&registry)?,
            teams: TeamGauges::new(&registry)?,
            waits: WaitGauges::new(&registry)?,
            registry,
        })
    }

    /// Counts a submission by its outcome.
    pub(crate) fn count_submission(&self, outcome: &str) {
        self.submissions.with_label_values(&[outcome]).inc();
    }

    /// Counts an answer to a caller and observes its latency.
    pub fn record_answer(&self, call: &str, status: &str, took: Duration) {
        self.answers.with_label_values(&[status]).inc();
        self.latency.with_label_values(&[call]).observe(took.as_secs_f64());
    }

    /// Counts a command to a worker by its answer.
    pub(crate) fn count_command(&self, answer: &str) {
        self.commands.with_label_values(&[answer]).inc();
    }

    /// Counts a transaction of the leader by its outcome.
    pub(crate) fn count_commit(&self, outcome: &str) {
        self.commits.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn set_leading(&self, leading: bool) {
        self.leading.set(leading.into());
    }

    /// Sets by how much a timer was late.
    pub(crate) fn set_loop_delay(&self, delay: Duration) {
        self.loop_delay.set(delay.as_millis() as i64);
    }

    /// Removes what only the leader shows: this host no longer leads.
    pub(crate) fn clear_leader(&self) {
        self.set_leading(false);
        self.waits.set(&[]);
        self.zones.clear();
        self.learned.clear();
        self.teams.set(&[]);
    }

    /// Sets the gauges of the teams in contended pools.
    pub(crate) fn set_contention(&self, pools: &[PoolContention]) {
        self.teams.set(pools);
    }

    /// Sets the gauges for the sizes and totals of the leader.
    pub(crate) fn set_scheduler_counts(&self, counts: Counts) {
        let set = |what: &str, value: i64| self.scheduler.with_label_values(&[what]).set(value);
        set("jobs", counts.jobs as i64);
        set("runs", counts.attempts as i64);
        set("workers", counts.workers as i64);
        set("starts", counts.starts as i64);
        set("no_room", counts.no_capacity as i64);
        set("done", counts.done as i64);
        set("failed", counts.failed as i64);
        set("lost", counts.lost as i64);
        set("crashes", counts.crashes as i64);
        set("deadly", counts.deadly as i64);
        set("unsure", counts.unresolved as i64);
        set("stops", counts.stops as i64);
        set("window", counts.start_window as i64);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(target: "metrics", "the metrics can't be written: {error}");
        }
        text
    }
}
