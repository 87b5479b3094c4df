//! Whether an endpoint's failures keep it out of use.

use vg_base::prelude::*;

/// Failures in a row after which an endpoint is suspected.
const FAILURES_IN_ROW: u32 = 5;
/// Weight of the latest result in the failure rate.
const RATE_WEIGHT: f64 = 0.1;
/// How far the failure rate must be above that of the peers.
const RATE_EXCESS: f64 = 0.3;
/// Results after which the failure rate is meaningful.
const RATE_SAMPLES: u32 = 20;
/// First time that an endpoint is out of use.
const BACKOFF_MIN: Duration = Duration::from_secs(2);
/// Longest time that it is out of use before it is probed.
const BACKOFF_MAX: Duration = Duration::from_secs(120);
/// Answered probes after which it is back in use.
const PROBES_TO_RESTORE: u32 = 2;

/// Whether an endpoint's failures keep it out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It takes calls.
    Healthy,
    /// It gets nothing until this time, then single probes.
    Ejected {
        /// When the first probe may be sent.
        until: Instant,
    },
}

/// Results of an endpoint's calls and what follows from them.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) health: Health,
    /// Part of the recent calls that failed, 0 to 1.
    pub(crate) rate: f64,
    samples: u32,
    row: u32,
    probes: u32,
    backoff: Duration,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            health: Health::Healthy,
            rate: 0.0,
            samples: 0,
            row: 0,
            probes: 0,
            backoff: BACKOFF_MIN,
        }
    }
}

impl Record {
    /// Takes in a result of a healthy endpoint's call.
    pub(crate) fn note(&mut self, failed: bool) {
        self.row = if failed { self.row.saturating_add(1) } else { 0 };
        self.samples = self.samples.saturating_add(1);
        self.rate += RATE_WEIGHT * (f64::from(u8::from(failed)) - self.rate);
        if !failed && self.samples >= RATE_SAMPLES && self.rate < RATE_WEIGHT {
            self.backoff = BACKOFF_MIN;
        }
    }

    /// Whether it fails more than its peers, whose mean failure rate is `peers`.
    pub(crate) fn is_suspect(&self, peers: f64) -> bool {
        let worse = self.rate > peers + RATE_EXCESS;
        let in_row = self.row >= FAILURES_IN_ROW;
        worse && (in_row || self.samples >= RATE_SAMPLES)
    }

    /// Takes it out of use, each time for longer.
    pub(crate) fn eject(&mut self, now: Instant) {
        self.health = Health::Ejected { until: now + self.backoff };
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        self.probes = 0;
    }

    /// Takes in the result of a probe. Returns whether the endpoint is back.
    pub(crate) fn probed(&mut self, failed: bool, now: Instant) -> bool {
        if failed {
            self.eject(now);
            return false;
        }
        self.probes += 1;
        if self.probes < PROBES_TO_RESTORE {
            return false;
        }
        let backoff = self.backoff;
        *self = Record { backoff, ..Record::default() };
        true
    }

    /// Whether a probe is due. One that could harm waits twice as long.
    pub(crate) fn probe_due(&self, now: Instant, probing: super::ProbePolicy) -> bool {
        let Health::Ejected { until } = self.health else { return false };
        match probing {
            super::ProbePolicy::Allowed => now >= until,
            super::ProbePolicy::Avoided => now >= until + self.backoff,
        }
    }

    /// Whether it is out of use.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health != Health::Healthy
    }
}
