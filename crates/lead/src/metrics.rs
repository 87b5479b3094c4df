//! Prometheus metrics of one host.

use prometheus::{
    Encoder, Error, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use vg_base::prelude::*;
use vg_flow::{Counts, DoubtfulWorker, DurationQuantiles};

/// Upper bounds of the latency histogram buckets in seconds.
const LATENCY_BOUNDS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Maximum number of queues with gauges of durations.
const MAX_QUEUES: usize = 50;

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
    worker_speed: GaugeVec,
    worker_failures: GaugeVec,
    duration_ratio: GaugeVec,
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
        let leading = IntGauge::new("vg_leading", "1 while this host leads.")?;
        registry.register(Box::new(leading.clone()))?;
        let loop_delay =
            IntGauge::new("vg_loop_delay_ms", "Milliseconds by which a timer was late last.")?;
        registry.register(Box::new(loop_delay.clone()))?;
        let scheduler =
            IntGaugeVec::new(Opts::new("vg_flow", "The leader's tables and totals."), &["what"])?;
        registry.register(Box::new(scheduler.clone()))?;
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = GaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, Error>(gauges)
        };
        let help = "Speed of the ten worst workers, relative to the median of their pool.";
        let worker_speed = gauges("vg_worker_speed", help, &["worker"])?;
        let help = "Fraction of the last attempts that failed, of the ten worst workers.";
        let worker_failures = gauges("vg_worker_failure_rate", help, &["worker"])?;
        let help = "Observed over estimated duration of tasks, by queue and quantile.";
        let duration_ratio = gauges("vg_duration_ratio", help, &["queue", "quantile"])?;
        Ok(Metrics {
            registry,
            submissions,
            answers,
            latency,
            commands,
            commits,
            leading,
            loop_delay,
            scheduler,
            worker_speed,
            worker_failures,
            duration_ratio,
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
        set("unsure", counts.unresolved as i64);
        set("stops", counts.stops as i64);
        set("window", counts.start_window as i64);
    }

    /// Sets the gauges of the worst workers.
    pub(crate) fn set_worst_workers(&self, workers: &[DoubtfulWorker]) {
        self.worker_speed.reset();
        self.worker_failures.reset();
        for DoubtfulWorker { worker, evidence, .. } in workers {
            self.worker_speed.with_label_values(&[worker.as_str()]).set(evidence.speed);
            let failures = self.worker_failures.with_label_values(&[worker.as_str()]);
            failures.set(evidence.failure_rate);
        }
    }

    /// Sets the gauges of observed over estimated durations.
    pub(crate) fn set_durations(&self, queues: &[DurationQuantiles]) {
        self.duration_ratio.reset();
        for each in queues.iter().take(MAX_QUEUES) {
            for (quantile, ratio) in [("0.5", each.median), ("0.9", each.p90), ("0.99", each.p99)] {
                let labels = [each.queue.as_str(), quantile];
                self.duration_ratio.with_label_values(&labels).set(ratio);
            }
        }
    }

    /// Removes the gauges of workers and durations: this host no longer leads.
    pub(crate) fn clear_learned(&self) {
        self.set_worst_workers(&[]);
        self.set_durations(&[]);
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
