//! Health of endpoints: ejection after failures, probes and restoration.

use vg_base::prelude::*;

/// Consecutive failures from which an endpoint may be ejected.
const CONSECUTIVE_FAILURES_MIN: u32 = 5;
/// Weight of the latest result in the failure rate, which is a moving average.
const RATE_WEIGHT: f64 = 0.1;
/// Least difference between an endpoint's failure rate and the mean rate of its
/// peers at which the endpoint may be ejected.
const RATE_EXCESS: f64 = 0.3;
/// Number of results from which the failure rate is meaningful.
const RATE_SAMPLES: u32 = 20;
/// Time for which an endpoint is ejected at first.
const BACKOFF_MIN: Duration = Duration::from_secs(2);
/// Longest time for which an endpoint is ejected before it is probed.
const BACKOFF_MAX: Duration = Duration::from_secs(120);
/// Number of successful probes after which an endpoint is restored.
const PROBES_TO_RESTORE: u32 = 2;

/// Whether an endpoint is ejected because its calls failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The endpoint gets calls.
    Healthy,
    /// The endpoint gets no calls until this time, and then one probe at a time.
    Ejected {
        /// Time from which a probe may be sent.
        until: Instant,
    },
}

/// Results of an endpoint's calls, and the health that follows from them.
#[derive(Debug, Clone)]
pub(crate) struct HealthRecord {
    pub(crate) health: Health,
    /// Fraction of the recent calls that failed, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// Number of results since the endpoint was added or restored.
    samples: u32,
    /// Number of failures since the last success.
    failures: u32,
    /// Number of successful probes since the last ejection.
    probes: u32,
    /// Time for which the next ejection lasts.
    backoff: Duration,
}

impl Default for HealthRecord {
    fn default() -> HealthRecord {
        HealthRecord {
            health: Health::Healthy,
            failure_rate: 0.0,
            samples: 0,
            failures: 0,
            probes: 0,
            backoff: BACKOFF_MIN,
        }
    }
}

impl HealthRecord {
    /// Records the result of a call that is not a probe of an ejected endpoint.
    ///
    /// A success that leaves the failure rate below the weight of one result resets
    /// the duration of the next ejection, if there are enough samples.
    pub(crate) fn record_result(&mut self, failed: bool) {
        self.failures = if failed { self.failures.saturating_add(1) } else { 0 };
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += RATE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        if !failed && self.samples >= RATE_SAMPLES && self.failure_rate < RATE_WEIGHT {
            self.backoff = BACKOFF_MIN;
        }
    }

    /// Whether the endpoint should be ejected: it fails more often than its peers,
    /// whose mean failure rate is `peers`.
    pub(crate) fn should_eject(&self, peers: f64) -> bool {
        let above_peers = self.failure_rate > peers + RATE_EXCESS;
        let consecutive = self.failures >= CONSECUTIVE_FAILURES_MIN;
        above_peers && (consecutive || self.samples >= RATE_SAMPLES)
    }

    /// Ejects the endpoint, each time for twice as long, up to a limit.
    pub(crate) fn eject(&mut self, now: Instant) {
        self.health = Health::Ejected { until: now + self.backoff };
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        self.probes = 0;
    }

    /// Records the result of a probe, which ejects the endpoint again if it failed.
    /// Returns whether the endpoint is restored. A restored endpoint keeps the
    /// duration of its next ejection.
    pub(crate) fn record_probe(&mut self, failed: bool, now: Instant) -> bool {
        if failed {
            self.eject(now);
            return false;
        }
        self.probes += 1;
        if self.probes < PROBES_TO_RESTORE {
            return false;
        }
        let backoff = self.backoff;
        *self = HealthRecord { backoff, ..HealthRecord::default() };
        true
    }

    /// Whether a probe is due. A call that should avoid probing becomes a probe only
    /// when the probe has been due for as long as the next ejection would last.
    pub(crate) fn probe_due(&self, now: Instant, probe_policy: super::ProbePolicy) -> bool {
        let Health::Ejected { until } = self.health else { return false };
        match probe_policy {
            super::ProbePolicy::Allowed => now >= until,
            super::ProbePolicy::Avoided => now >= until + self.backoff,
        }
    }

    /// Whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health != Health::Healthy
    }
}
