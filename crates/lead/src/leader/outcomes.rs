//! Deletes the outcomes of jobs once they have been kept for their retention.
//!
//! The retention counts by the clock of this leader, from when it wrote an outcome or first
//! found it: no time in a record says how old it is, since the wall clocks of hosts differ.
//! Outcomes are written without a lease, since an outage of the store may end any lease.
//! Load that this module handles: thousands of outcomes a minute, which are due in the order
//! in which they were written. One transaction deletes up to [`DELETES_PER_TXN_MAX`].

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use vg_base::prelude::*;
use vg_store::{Entry, Error, Key, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::host::lock;
use crate::keys::{self, OUTCOME_PREFIX, TERM_KEY};

/// Maximum number of outcomes that one transaction deletes.
const DELETES_PER_TXN_MAX: usize = 30;
/// Maximum number of outcomes that are remembered. Others are found by a later listing.
const REMEMBERED_MAX: usize = 50_000;
/// Part of the retention after which the outcomes of earlier leaders are listed. Leaders that
/// follow each other closely list nothing.
const LISTING_DELAY_PART: u32 = 8;
/// Part of the retention between two checks, and for which an outcome that is due waits for
/// others, so that a transaction deletes many.
const CHECK_PART: u32 = 16;
/// Part of the retention between the listings of two parts of the outcomes.
const LISTING_PAUSE_PART: u32 = 240;
/// First digits of job ids; outcomes are listed in parts, one for each.
const FIRST_DIGITS: &str = "0123456789abcdef";

/// The stored outcomes that are to be deleted, by the time at which they are due.
#[derive(Debug, Default)]
pub(super) struct StoredOutcomes {
    due: BTreeSet<(Instant, JobId)>,
    jobs: HashSet<JobId>,
    /// When a listing began since which all outcomes that this leader wrote or found are
    /// remembered.
    listed: Option<Instant>,
}

impl StoredOutcomes {
    /// Remembers an outcome that is due at `due`. Returns whether there was room for it.
    fn insert(&mut self, due: Instant, job: JobId) -> bool {
        let has_room = self.due.len() < REMEMBERED_MAX;
        if !has_room {
            self.listed = None;
        } else if self.jobs.insert(job) {
            self.due.insert((due, job));
        }
        has_room
    }

    /// Whether outcomes have to be listed and there is room for many. Other hosts write some
    /// too, so they are listed again and again.
    fn needs_listing(&self, now: Instant, interval: Duration) -> bool {
        let is_listed = self.listed.is_some_and(|at| now.saturating_duration_since(at) < interval);
        !is_listed && self.due.len() < REMEMBERED_MAX / 2
    }

    /// Returns the outcomes to delete next: as many as one transaction deletes, or fewer if
    /// the first has been due for `patience`.
    fn next_due(&self, now: Instant, patience: Duration) -> Vec<(Instant, JobId)> {
        let due = self.due.iter().take_while(|(due, _)| *due <= now);
        let next: Vec<_> = due.copied().take(DELETES_PER_TXN_MAX).collect();
        let has_waited = next.first().is_some_and(|(due, _)| *due + patience <= now);
        if next.len() == DELETES_PER_TXN_MAX || has_waited { next } else { Vec::new() }
    }

    fn remove(&mut self, deleted: &[(Instant, JobId)]) {
        for each in deleted {
            self.due.remove(each);
            self.jobs.remove(&each.1);
        }
    }
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Remembers that an outcome was written now.
    pub(super) fn remember_outcome(&self, job: JobId) {
        let due = self.host.inner.clock.now() + self.host.inner.options.outcome_retention;
        lock(&self.outcomes).insert(due, job);
    }

    /// Deletes outcomes whose retention has passed, also those of earlier leaders.
    pub(super) async fn delete_outcomes(self: Arc<Self>) {
        let retention = self.host.inner.options.outcome_retention;
        tokio::time::sleep(retention / LISTING_DELAY_PART).await;
        loop {
            let now = self.host.inner.clock.now();
            if lock(&self.outcomes).needs_listing(now, retention)
                && let Err(error) = self.list_outcomes().await
            {
                log::debug!(target: "store", "cannot list the outcomes: {error}");
            }
            while let Err(error) = self.delete_due().await {
                log::debug!(target: "store", "cannot delete outcomes: {error}");
                tokio::time::sleep(retention / LISTING_PAUSE_PART).await;
            }
            tokio::time::sleep(retention / CHECK_PART).await;
        }
    }

    /// Lists the outcomes in the store, part by part.
    async fn list_outcomes(&self) -> Result<(), Error> {
        let pause = self.host.inner.options.outcome_retention / LISTING_PAUSE_PART;
        lock(&self.outcomes).listed = Some(self.host.inner.clock.now());
        for digit in FIRST_DIGITS.chars() {
            let prefix = Key::from(format!("{OUTCOME_PREFIX}{digit}"));
            let listing = self.host.store().range(&prefix).await;
            let listing = listing.inspect_err(|_| lock(&self.outcomes).listed = None)?;
            if !listing.entries.iter().all(|entry| self.remember_listed(entry)) {
                return Ok(());
            }
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Remembers an outcome of an earlier leader. Returns whether there was room for it.
    fn remember_listed(&self, entry: &Entry) -> bool {
        // An earlier version wrote it under a lease, with which it ends.
        if entry.lease.is_some() {
            return true;
        }
        let Some(job) = keys::parse_job_id(&entry.key, OUTCOME_PREFIX) else {
            log::warn!(target: "store", "unknown key among the outcomes: {}", entry.key);
            return true;
        };
        // How old it is isn't known: the wall clocks of hosts differ.
        let due = self.host.inner.clock.now() + self.host.inner.options.outcome_retention;
        lock(&self.outcomes).insert(due, job)
    }

    /// Deletes the outcomes that are due, under the condition that this leader's term is
    /// unchanged.
    async fn delete_due(&self) -> Result<(), Error> {
        let patience = self.host.inner.options.outcome_retention / CHECK_PART;
        loop {
            let next = lock(&self.outcomes).next_due(self.host.inner.clock.now(), patience);
            if next.is_empty() {
                return Ok(());
            }
            let txn = Txn::new().expect(TERM_KEY, Some(StoreRevision(self.token.0 as i64)));
            let txn = next.iter().fold(txn, |txn, (_, job)| txn.delete(keys::outcome(*job)));
            match self.host.store().commit(txn).await? {
                TxnOutcome::Committed { .. } => lock(&self.outcomes).remove(&next),
                TxnOutcome::Conflict { found } => {
                    // Without the leadership this task is aborted.
                    self.still_leads(&found).await;
                    return Ok(());
                }
            }
        }
    }
}
