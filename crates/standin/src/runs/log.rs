//! The record of runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use vg_base::prelude::*;

use crate::runs::{Run, RunGuard, RunLabel};

/// Records the starts and ends of all runs; clones share the same record.
///
/// Starts and ends are counted in one order under one lock, so the peaks are
/// exact and need no comparison of times. The record grows with each run.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    by_team: BTreeMap<SmolStr, Level>,
    by_host: BTreeMap<HostId, Level>,
    by_request: BTreeMap<SmolStr, usize>,
    by_key: BTreeMap<SmolStr, usize>,
}

/// How many run now, and how many ran at most.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    now: usize,
    peak: usize,
}

impl Level {
    fn rise(&mut self) {
        self.now += 1;
        self.peak = self.peak.max(self.now);
    }
}

impl RunLog {
    /// Makes an empty record.
    pub fn new() -> RunLog {
        RunLog::default()
    }

    /// Records the start of a run, which ends when the guard is dropped.
    pub fn start(&self, label: RunLabel, host: &HostId) -> RunGuard {
        let mut state = self.lock();
        state.by_team.entry(label.team.clone()).or_default().rise();
        state.by_host.entry(host.clone()).or_default().rise();
        *state.by_request.entry(label.request.clone()).or_default() += 1;
        if let Some(key) = &label.key {
            *state.by_key.entry(key.clone()).or_default() += 1;
        }
        let index = state.runs.len();
        let start = Instant::now();
        state.runs.push(Run { label, host: host.clone(), start, end: None });
        RunGuard::new(self.clone(), index)
    }

    /// Returns all runs in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns how many runs began.
    pub fn total(&self) -> usize {
        self.lock().runs.len()
    }

    /// Returns how often a request was run.
    pub fn runs_of(&self, request: &str) -> usize {
        self.lock().by_request.get(request).copied().unwrap_or_default()
    }

    /// Returns how often a caller's work was run, over all its requests.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.lock().by_key.get(key).copied().unwrap_or_default()
    }

    /// Returns the requests that were run more than once.
    pub fn repeated_requests(&self) -> Vec<SmolStr> {
        repeated(&self.lock().by_request)
    }

    /// Returns the callers' work that was run more than once.
    pub fn repeated_keys(&self) -> Vec<SmolStr> {
        repeated(&self.lock().by_key)
    }

    /// Returns how many runs of a team go on.
    pub fn running(&self, team: &str) -> usize {
        self.lock().by_team.get(team).map_or(0, |level| level.now)
    }

    /// Returns how many runs of a team went on at once at most.
    pub fn peak(&self, team: &str) -> usize {
        self.lock().by_team.get(team).map_or(0, |level| level.peak)
    }

    /// Returns how many runs at a host go on.
    pub fn running_at(&self, host: &HostId) -> usize {
        self.lock().by_host.get(host).map_or(0, |level| level.now)
    }

    /// Returns how many runs at a host went on at once at most.
    pub fn peak_at(&self, host: &HostId) -> usize {
        self.lock().by_host.get(host).map_or(0, |level| level.peak)
    }

    /// Records the end of the run at `index`.
    pub(crate) fn end(&self, index: usize) {
        let mut state = self.lock();
        let State { runs, by_team, by_host, .. } = &mut *state;
        let Some(run) = runs.get_mut(index) else { return };
        run.end = Some(Instant::now());
        if let Some(level) = by_team.get_mut(&run.label.team) {
            level.now -= 1;
        }
        if let Some(level) = by_host.get_mut(&run.host) {
            level.now -= 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn repeated(counts: &BTreeMap<SmolStr, usize>) -> Vec<SmolStr> {
    counts.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
}
