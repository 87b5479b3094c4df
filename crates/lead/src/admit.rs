//! Rejection of jobs that can't be done in time.
//!
//! Load that this module handles: teams send several times what their pools can do,
//! and callers send rejected jobs again. A rejection takes at most
//! [`REJECTION_TIMEOUT`]; what can't be checked within that time is admitted.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{Admission, DIGEST_MAX_AGE, JobSpec, LoadDigest, PoolTeam, Rejection, decide};
use vg_store::Store;

use crate::host::lock;
use crate::messages::{LoadAnswer, LoadQuery, WriteOutcome};
use crate::submit::random_retry_after;
use crate::team_gauges::team_label;
use crate::{Host, Platform, keys};

/// Time within which a job is rejected or takes the normal path.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a submission waits for a newer digest.
const LOAD_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval in which events of rejections are counted.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of events of rejections in an interval.
const EVENTS_MAX: u32 = 10;

/// Why a job is refused before it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The leader can't start more jobs in time.
    Overload(Duration),
    /// It can't be done while it has value.
    Hopeless(Duration),
}

/// Limits the events of rejections.
#[derive(Debug, Default)]
pub(crate) struct EventLimit {
    since: Option<Instant>,
    recorded: u32,
    omitted: u64,
}

impl EventLimit {
    /// Returns the number of events that were left out before this one; `None` if this
    /// one is left out too.
    pub(crate) fn next(&mut self, now: Instant) -> Option<u64> {
        if self.since.is_none_or(|at| now.saturating_duration_since(at) >= EVENT_INTERVAL) {
            self.since = Some(now);
            self.recorded = 0;
        }
        if self.recorded >= EVENTS_MAX {
            self.omitted += 1;
            return None;
        }
        self.recorded += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Returns why a job is refused; `None` if it is to be written.
    pub(crate) async fn refusal(&self, job: JobId, spec: &JobSpec) -> Option<Refusal> {
        if let Some(retry_after) = self.overload_refusal(job, spec).await {
            return Some(Refusal::Overload(retry_after));
        }
        let checked = tokio::time::timeout(REJECTION_TIMEOUT, self.hopeless_refusal(job, spec));
        match checked.await {
            Ok(refusal) => refusal.map(Refusal::Hopeless),
            Err(_) => {
                log::debug!(target: "store", "job {job} is admitted: its id could not be checked");
                None
            }
        }
    }

    /// Returns when the caller of a job may retry if the job is refused now, because
    /// the leader can not start it in time. Jobs that run for long or at later times,
    /// and jobs that may be known already, are not refused.
    async fn overload_refusal(&self, job: JobId, spec: &JobSpec) -> Option<Duration> {
        let until = (*lock(&self.inner.refusing_until))?;
        let remaining = until.saturating_duration_since(self.inner.clock.now());
        let may_wait = spec.is_continuous() || spec.schedule.is_some();
        if remaining.is_zero() || may_wait || !self.is_new(job).await {
            return None;
        }
        Some(remaining + random_retry_after())
    }

    /// Returns when the caller of a job may retry if the job can't be done while it has
    /// value and is known to no host.
    async fn hopeless_refusal(&self, job: JobId, spec: &JobSpec) -> Option<Duration> {
        let (digest, age) = self.current_load().await?;
        let config = self.config()?;
        let queue = config.present_queue(&spec.queue)?;
        let Admission::Reject(rejection) = decide(&digest, age, spec, queue) else { return None };
        if !self.is_new(job).await {
            return None;
        }
        let team = PoolTeam { pool: queue.pool.clone(), team: spec.team.clone() };
        self.record_rejection(job, &team, &rejection, age);
        let hosts = lock(&self.inner.members).others(self.inner.options.peer_addr).len() + 1;
        let (random, now) = (rand::random(), self.inner.clock.now());
        let delay = lock(&self.inner.retries).next_delay(team, &rejection, hosts, random, now);
        Some(delay)
    }

    fn record_rejection(&self, job: JobId, team: &PoolTeam, rejection: &Rejection, age: Duration) {
        let now = self.inner.clock.now();
        let Some(omitted) = lock(&self.inner.rejection_events).next(now) else { return };
        let wait = rejection.wait.map_or(-1, |wait| wait.as_millis() as i64);
        let fields = [
            Field::new("job", job),
            Field::new("pool", &team.pool),
            Field::new("team", team_label(team.team.as_ref())),
            Field::new("wait-ms", wait),
            Field::new("limit-ms", rejection.limit.as_millis()),
            Field::new("load-ms", age.as_millis()),
            Field::new("omitted", omitted),
        ];
        self.record(Code::JobHopeless, fields);
    }

    /// Whether a job is in no record and no host has sent a write of it whose
    /// outcome is not known, so that a refusal is true. The hosts are asked first: a
    /// write that ends in between is then found in the store.
    pub(crate) async fn is_new(&self, job: JobId) -> bool {
        if self.may_be_durable(job) || self.confirm_rejected(job).await != WriteOutcome::Rejected {
            return false;
        }
        let (record, outcome) = (keys::job(job), keys::outcome(job));
        let stored = futures_util::join!(self.store().get(&record), self.store().get(&outcome));
        matches!(stored, (Ok(None), Ok(None)))
    }

    /// Returns the load of contended pools and its age. Calls the leader if the last
    /// digest is not recent, and waits for the answer if it is too old to be used.
    async fn current_load(&self) -> Option<(Arc<LoadDigest>, Duration)> {
        if let Some(leader) = self.leading() {
            return leader.load();
        }
        let (_, age) = self.received_load()?;
        if lock(&self.inner.load).is_call_due(&self.inner.clock) {
            let call = tokio::spawn(self.clone().fetch_load());
            if age > DIGEST_MAX_AGE {
                let _ = tokio::time::timeout(LOAD_TIMEOUT, call).await;
            }
        }
        self.received_load()
    }

    fn received_load(&self) -> Option<(Arc<LoadDigest>, Duration)> {
        lock(&self.inner.load).digest(&self.inner.clock)
    }

    /// Calls the leader for the load.
    async fn fetch_load(self) {
        let Some(addr) = self.leader_addr() else { return };
        let sent = DualInstant::now(&self.inner.clock);
        let answer: Result<LoadAnswer, _> = self.ask_peer(addr, "load", &LoadQuery {}).await;
        match answer {
            Ok(answer) => lock(&self.inner.load).take(answer.load, sent),
            Err(error) => log::debug!(target: "peers", "the leader sent no load: {error}"),
        }
    }
}
