//! Gauges of what the leader has learned about workers and durations.

use prometheus::{Error, GaugeVec, Opts, Registry};
use vg_flow::{DoubtfulWorker, DurationQuantiles};

/// Maximum number of queues with gauges of durations.
const MAX_QUEUES: usize = 50;

/// Gauges of the worst workers and of the durations of tasks; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct LearnedGauges {
    speed: GaugeVec,
    failure_rate: GaugeVec,
    duration_ratio: GaugeVec,
}

impl LearnedGauges {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<LearnedGauges, Error> {
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = GaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, Error>(gauges)
        };
        let help = "Speed of the ten worst workers, relative to the median of their pool.";
        let speed = gauges("vg_worker_speed", help, &["worker"])?;
        let help = "Fraction of the last attempts that failed, of the ten worst workers.";
        let failure_rate = gauges("vg_worker_failure_rate", help, &["worker"])?;
        let help = "Observed over estimated duration of tasks, by queue and quantile.";
        let duration_ratio = gauges("vg_duration_ratio", help, &["queue", "quantile"])?;
        Ok(LearnedGauges { speed, failure_rate, duration_ratio })
    }

    /// Sets the gauges of the worst workers.
    pub(crate) fn set_workers(&self, workers: &[DoubtfulWorker]) {
        self.speed.reset();
        self.failure_rate.reset();
        for DoubtfulWorker { worker, evidence, .. } in workers {
            let labels = [worker.as_str()];
            self.speed.with_label_values(&labels).set(evidence.speed);
            self.failure_rate.with_label_values(&labels).set(evidence.failure_rate);
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

    /// Removes all gauges: this host no longer leads.
    pub(crate) fn clear(&self) {
        self.set_workers(&[]);
        self.set_durations(&[]);
    }
}
