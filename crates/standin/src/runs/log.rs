//! The log of all runs, with the concurrency per team and per host.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use vg_base::prelude::*;

use crate::runs::{Run, RunGuard, RunLabel};

/// Records the start and the end of each run. Clones share the same log.
///
/// A single lock puts all starts and ends in one order, so the peaks of
/// concurrency are exact and don't depend on comparing timestamps. The log keeps
/// every run and therefore grows without limit.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    by_team: BTreeMap<SmolStr, Concurrency>,
    by_host: BTreeMap<HostId, Concurrency>,
    by_request: BTreeMap<SmolStr, usize>,
    by_key: BTreeMap<SmolStr, usize>,
}

/// Number of concurrent runs: now, and the highest so far.
#[derive(Debug, Clone, Copy, Default)]
struct Concurrency {
    current: usize,
    peak: usize,
}

impl Concurrency {
    fn increment(&mut self) {
        self.current += 1;
        self.peak = self.peak.max(self.current);
    }
}

impl RunLog {
    /// Creates an empty log.
    pub fn new() -> RunLog {
        RunLog::default()
    }

    /// Records the start of a run. Dropping the guard records its end.
    pub fn start(&self, label: RunLabel, host: &HostId) -> RunGuard {
        let mut state = self.lock();
        state.by_team.entry(label.team.clone()).or_default().increment();
        state.by_host.entry(host.clone()).or_default().increment();
        *state.by_request.entry(label.request.clone()).or_default() += 1;
        if let Some(key) = &label.key {
            *state.by_key.entry(key.clone()).or_default() += 1;
        }
        let index = state.runs.len();
        let start = Instant::now();
        state.runs.push(Run { label, host: host.clone(), start, end: None });
        RunGuard::new(self.clone(), index)
    }

    /// Returns all runs, in the order in which they started.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of runs that have started.
    pub fn total(&self) -> usize {
        self.lock().runs.len()
    }

    /// Returns the number of runs of a request.
    pub fn runs_of(&self, request: &str) -> usize {
        self.lock().by_request.get(request).copied().unwrap_or_default()
    }

    /// Returns the number of runs with the given key of the caller, over all requests
    /// with this key.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.lock().by_key.get(key).copied().unwrap_or_default()
    }

    /// Returns the ids of the requests that were run more than once.
    pub fn repeated_requests(&self) -> Vec<SmolStr> {
        ids_run_twice(&self.lock().by_request)
    }

    /// Returns the callers' keys that were run more than once.
    pub fn repeated_keys(&self) -> Vec<SmolStr> {
        ids_run_twice(&self.lock().by_key)
    }

    /// Returns the number of active runs of a team.
    pub fn running(&self, team: &str) -> usize {
        self.lock().by_team.get(team).map_or(0, |concurrency| concurrency.current)
    }

    /// Returns the highest number of concurrent runs of a team so far.
    pub fn peak(&self, team: &str) -> usize {
        self.lock().by_team.get(team).map_or(0, |concurrency| concurrency.peak)
    }

    /// Returns the number of active runs on a host.
    pub fn running_at(&self, host: &HostId) -> usize {
        self.lock().by_host.get(host).map_or(0, |concurrency| concurrency.current)
    }

    /// Returns the highest number of concurrent runs on a host so far.
    pub fn peak_at(&self, host: &HostId) -> usize {
        self.lock().by_host.get(host).map_or(0, |concurrency| concurrency.peak)
    }

    /// Records the end of the run at `index` of the log.
    pub(crate) fn record_end(&self, index: usize) {
        let mut state = self.lock();
        let State { runs, by_team, by_host, .. } = &mut *state;
        let Some(run) = runs.get_mut(index) else { return };
        run.end = Some(Instant::now());
        if let Some(concurrency) = by_team.get_mut(&run.label.team) {
            concurrency.current -= 1;
        }
        if let Some(concurrency) = by_host.get_mut(&run.host) {
            concurrency.current -= 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ids_run_twice(counts: &BTreeMap<SmolStr, usize>) -> Vec<SmolStr> {
    counts.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
}
