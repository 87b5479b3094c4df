//! Taking over: what earlier leaders left in the store.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{IncarnationRecord, JobSpec, Progress, WaveRecord};
use vg_store::{Entry, Error, Key, Listing, Store, StoreRevision, Watch};

use super::{Leader, UNVERIFIED_MAX};
use crate::Platform;
use crate::follow::{Seen, follow};
use crate::host::lock;
use crate::keys::{self, IN, Incoming, LIVES, ORDERS, Ordered, RUN, WAVES};

/// Pause before the store is asked again.
const RETRY: Duration = Duration::from_millis(100);
/// Pause between two looks at new jobs: hosts tell the leader of each job, and
/// the store is only the way that can't fail.
const JOBS_GAP: Duration = Duration::from_millis(250);

/// Revisions from which the leader follows the store.
pub(super) struct Loaded {
    pub(super) jobs: StoreRevision,
    pub(super) lives: Option<StoreRevision>,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Reads all that earlier leaders left; `None` if the leadership is lost
    /// before the store answers.
    pub(super) async fn load(self: &Arc<Self>) -> Option<Loaded> {
        let started = self.host.inner.clock.now();
        loop {
            match self.try_load().await {
                Ok(loaded) => {
                    let took = self.host.inner.clock.now() - started;
                    let jobs = self.flow().counts().jobs;
                    let (workers, tasks) = self.flow().unresolved_counts();
                    let fields = [
                        Field::new("fence", self.fence),
                        Field::new("jobs", jobs),
                        Field::new("unknown-workers", workers),
                        Field::new("held-tasks", tasks),
                        Field::new("ms", took.as_millis()),
                    ];
                    self.host.record(Code::JobsRecovered, fields);
                    return Some(loaded);
                }
                Err(error) => {
                    log::debug!(target: "store", "not loaded: {error}");
                    if self.host.unverified_for() > UNVERIFIED_MAX {
                        return None;
                    }
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    async fn try_load(&self) -> Result<Loaded, Error> {
        let store = self.host.store();
        let prefixes: [Key; 2] = [IN.into(), RUN.into()];
        let single: [Key; 3] = [LIVES.into(), WAVES.into(), ORDERS.into()];
        let (jobs, progress, lives, waves, orders) = futures_util::try_join!(
            store.range(&prefixes[0]),
            store.range(&prefixes[1]),
            store.get(&single[0]),
            store.get(&single[1]),
            store.get(&single[2]),
        )?;
        self.add_jobs(&jobs);
        self.restore_progress(&progress);
        self.suspect_lives(lives.as_ref());
        self.restore_waves(waves.as_ref());
        self.restore_orders(orders.as_ref());
        Ok(Loaded {
            jobs: StoreRevision(jobs.revision.0 + 1),
            lives: lives.map(|entry| entry.modified),
        })
    }

    fn add_jobs(&self, listing: &Listing) {
        let mut cancelled = Vec::new();
        for entry in &listing.entries {
            match keys::incoming(&entry.key) {
                Some(Incoming::Job(job)) => self.add_job(job, entry),
                Some(Incoming::Cancel(job)) => cancelled.push(job),
                None => log::warn!(target: "store", "unknown key {}", entry.key),
            }
        }
        let now = self.host.inner.clock.now();
        let mut flow = self.flow();
        cancelled.into_iter().for_each(|job| flow.cancel_job(job, now));
    }

    fn add_job(&self, job: JobId, entry: &Entry) {
        // A watch that lags shows jobs that have ended since.
        if self.host.known_end(job).is_some() {
            return;
        }
        let Some(spec) = self.host.decode::<JobSpec>(entry) else { return };
        let revision = entry.modified;
        let now = self.host.inner.clock.now();
        if self.flow().add_job(job, Arc::new(spec), revision.0 as u64, now) {
            lock(&self.committed).jobs.insert(job, revision);
        }
    }

    fn restore_progress(&self, listing: &Listing) {
        for entry in &listing.entries {
            let Some(job) = keys::job_under(&entry.key, RUN) else { continue };
            let Some(progress) = self.host.decode::<Progress>(entry) else { continue };
            self.flow().restore_progress(job, &progress);
            lock(&self.committed).progress.insert(job, entry.modified);
        }
    }

    /// Lives that an earlier leader may have given work. That leader may have
    /// gone on without proof for a while, and what it gave holds for a lease.
    fn suspect_lives(&self, entry: Option<&Entry>) {
        let Some(entry) = entry else { return };
        let lives = self.host.decode::<Vec<IncarnationRecord>>(entry);
        let rules = &self.host.inner.options.rules;
        let (now, wall) = (self.host.inner.clock.now(), self.host.inner.clock.wall());
        let until = now + UNVERIFIED_MAX + rules.lease_bound();
        let mut flow = self.flow();
        match lives {
            Some(lives) => {
                lives.iter().for_each(|life| flow.add_unresolved(life, until, now, wall))
            }
            None => flow.mark_all_unresolved(until),
        }
    }

    fn restore_waves(&self, entry: Option<&Entry>) {
        let records = entry.and_then(|entry| self.host.decode::<Vec<WaveRecord>>(entry));
        lock(&self.committed).waves =
            (entry.map(|entry| entry.modified), records.unwrap_or_default());
        let waves = self.host.inner.waves.borrow().clone();
        self.add_waves(&waves, true);
    }

    /// Holds the machines that an earlier leader has ordered lately. Orders are
    /// recorded before they are sent, so that others can be ordered at once.
    fn restore_orders(&self, entry: Option<&Entry>) {
        let hold = self.host.inner.options.rules.machine_hold;
        let (now, wall) = (self.host.inner.clock.now(), self.host.inner.clock.wall());
        let orders = match entry {
            None => Vec::new(),
            // No machine is ordered then before the hold has passed.
            Some(entry) => match self.host.decode::<Vec<Ordered>>(entry) {
                Some(orders) => orders,
                None => return,
            },
        };
        let mut flow = self.flow();
        flow.end_machine_hold(now);
        for order in &orders {
            let left = hold.saturating_sub(wall.duration_since(order.at).unwrap_or_default());
            flow.pause_machine(order.machine.clone(), now + left.min(hold));
        }
        lock(&self.committed).orders = (entry.map(|entry| entry.modified), orders);
    }

    /// Follows jobs and cancellations in the store.
    pub(super) async fn follow_jobs(self: Arc<Self>, from: StoreRevision) {
        let prefix = Key::from(IN);
        let mut next = from;
        loop {
            let error = self.watch_jobs(&prefix, &mut next).await;
            if matches!(error, Error::Compacted { .. })
                && let Ok(listing) = self.host.store().range(&prefix).await
                && self.host.is_verified()
            {
                self.add_jobs(&listing);
                next = StoreRevision(listing.revision.0 + 1);
                self.wake.notify_one();
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn watch_jobs(&self, prefix: &Key, next: &mut StoreRevision) -> Error {
        let mut watch = match self.host.store().watch(prefix, *next).await {
            Ok(watch) => watch,
            Err(error) => return error,
        };
        loop {
            let batch = match watch.next().await {
                Ok(batch) => batch,
                Err(error) => return error,
            };
            // While the lease may have lapsed, another host may lead and start
            // these jobs. They are seen again later.
            if !self.host.is_verified() {
                let reason = "the lease is not proved".to_owned();
                return Error::Unavailable { reason };
            }
            let entries = batch.changes.iter().filter_map(|(_, entry)| entry.clone());
            self.add_jobs(&Listing { revision: batch.revision, entries: entries.collect() });
            *next = StoreRevision(batch.revision.0 + 1);
            self.wake.notify_one();
            tokio::time::sleep(JOBS_GAP).await;
        }
    }

    /// Follows the registrations of workers.
    pub(super) async fn follow_workers(self: Arc<Self>) {
        let prefix = self.host.inner.platform.layout().worker_prefix.clone();
        let leader = Arc::clone(&self);
        follow(&self.host, &prefix, move |seen| match seen {
            Seen::Listed(listing) => leader.list_workers(&listing),
            Seen::Changed(batch) => {
                for (key, entry) in &batch.changes {
                    match entry {
                        Some(entry) => leader.see_worker(entry),
                        None => leader.lose_worker(key),
                    }
                }
            }
        })
        .await;
    }

    fn list_workers(self: &Arc<Self>, listing: &Listing) {
        let listed: std::collections::HashSet<_> =
            listing.entries.iter().map(|entry| entry.key.clone()).collect();
        for entry in &listing.entries {
            self.see_worker(entry);
        }
        let prefix = &self.host.inner.platform.layout().worker_prefix;
        for id in self.flow().worker_ids() {
            if !listed.contains(&Key(smol_str::format_smolstr!("{prefix}{id}"))) {
                self.flow().deregister(&id);
            }
        }
    }

    fn lose_worker(self: &Arc<Self>, key: &Key) {
        let prefix = &self.host.inner.platform.layout().worker_prefix;
        let id = key.0.strip_prefix(prefix.0.as_str()).and_then(|id| id.parse().ok());
        let Some(id) = id else { return };
        self.flow().deregister(&id);
        self.host.record(Code::EndpointGone, [Field::new("worker", &id)]);
        self.wake.notify_one();
    }

    fn see_worker(self: &Arc<Self>, entry: &Entry) {
        let read = self.host.inner.platform.parse_worker(&entry.key, &entry.value);
        let worker = match read {
            Ok(worker) => worker,
            Err(error) => {
                let fields = [Field::new("key", &entry.key), Field::new("cause", error)];
                self.host.record(Code::ValueUnreadable, fields);
                return;
            }
        };
        let now = self.host.inner.clock.now();
        if self.flow().register(&worker, now) {
            self.lives.notify_one();
        }
        if worker.draining {
            self.host.record(Code::EndpointLeaving, [Field::new("worker", &worker.incarnation.id)]);
        }
        self.look_at(worker.incarnation.id.clone());
        self.wake.notify_one();
    }
}
