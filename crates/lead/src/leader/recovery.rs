//! Takeover: restores the state that earlier leaders left in the store, and
//! follows jobs and workers from there on.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{IncarnationRecord, JobSpec, Progress, RetainedWork, WaveRecord};
use vg_store::{Entry, Error, Key, Listing, Store, StoreRevision, Watch};

use super::incarnation_shards::IncarnationShards;
use super::{EXPIRED_LEASE_GRACE, Leader};
use crate::follow::{PrefixUpdate, follow};
use crate::host::lock;
use crate::keys::{
    self, COMMANDS_KEY, CommandRecord, INCARNATIONS_KEY, INCARNATIONS_MOVED, INCARNATIONS_PREFIX,
    JOB_PREFIX, JobKey, PROGRESS_PREFIX, RecordedCommand, WAVES_KEY,
};
use crate::members::LAPSED_TIME;
use crate::{Host, Platform};

/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a leader that has not read the records gives way to another
/// host.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two batches of the watch for jobs. Hosts notify the leader of
/// each job directly; the watch is only the path that cannot lose a job, so it
/// may be slow.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Returns for how long after a takeover the earlier leader may start jobs that are accepted then.
pub(super) fn overlap_time<P: Platform, C: Clock>(host: &Host<P, C>) -> Duration {
    host.inner.options.lease_ttl() + EXPIRED_LEASE_GRACE
}

/// Store revisions from which the leader continues after recovery.
pub(super) struct RecoveredRevisions {
    pub(super) jobs: StoreRevision,
    pub(super) incarnations: IncarnationShards,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Reads the state that earlier leaders left. Returns `None` if this host's
    /// lease has been expired for longer than [`EXPIRED_LEASE_GRACE`] before
    /// the store answers, or if it has given way after [`RECOVERY_TIMEOUT`].
    pub(super) async fn recover(self: &Arc<Self>) -> Option<RecoveredRevisions> {
        let started = self.host.inner.clock.now();
        loop {
            let elapsed = self.host.inner.clock.now().saturating_duration_since(started);
            let remaining = RECOVERY_TIMEOUT.saturating_sub(elapsed);
            if remaining.is_zero() {
                self.release("the records could not be read in time").await;
                return None;
            }
            let Ok(recovered) = tokio::time::timeout(remaining, self.try_recover()).await else {
                continue;
            };
            let took = self.host.inner.clock.now().saturating_duration_since(started);
            match recovered {
                Ok(recovered) => {
                    let retained = lock(&self.host.inner.retained).take().is_some();
                    self.record_recovery(took, retained);
                    return Some(recovered);
                }
                Err(error) => {
                    let fields = [
                        Field::new("call", "recover"),
                        Field::new("ms", took.as_millis()),
                        Field::new("cause", error),
                    ];
                    self.host.record(Code::StoreFailed, fields);
                    if self.host.expired_for() > EXPIRED_LEASE_GRACE {
                        return None;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Records an event for a takeover that took `took`. `retained` tells whether the work
    /// on workers was known from this host's last leadership.
    fn record_recovery(&self, took: Duration, retained: bool) {
        let jobs = self.scheduler().counts().jobs;
        let (workers, tasks) = self.scheduler().unresolved_counts();
        let longest = self.scheduler().longest_unresolved(self.host.inner.clock.now());
        let fields = [
            Field::new("fence", self.token),
            Field::new("jobs", jobs),
            Field::new("unknown-workers", workers),
            Field::new("held-tasks", tasks),
            Field::new("longest-ms", longest.as_millis()),
            Field::new("retained", retained),
            Field::new("ms", took.as_millis()),
        ];
        self.host.record(Code::JobsRecovered, fields);
    }

    /// Reads and restores the state without retries.
    async fn try_recover(&self) -> Result<RecoveredRevisions, Error> {
        let store = self.host.store();
        let prefixes: [Key; 3] =
            [JOB_PREFIX.into(), PROGRESS_PREFIX.into(), INCARNATIONS_PREFIX.into()];
        let record_keys: [Key; 3] =
            [INCARNATIONS_KEY.into(), WAVES_KEY.into(), COMMANDS_KEY.into()];
        let drain_prefix = &self.host.inner.platform.layout().drain_prefix;
        let (drains, jobs, progress, shards, all, waves, commands) = futures_util::try_join!(
            store.range(drain_prefix),
            store.range(&prefixes[0]),
            store.range(&prefixes[1]),
            store.range(&prefixes[2]),
            store.get(&record_keys[0]),
            store.get(&record_keys[1]),
            store.get(&record_keys[2]),
        )?;
        // Before the first decision: this host may have just started.
        self.host.apply_drain_listing(&drains);
        self.apply_drained_zones();
        self.add_jobs(&jobs);
        self.note_jobs_read(jobs.revision);
        self.restore_progress(&progress);
        let retained = lock(&self.host.inner.retained).clone();
        match retained.filter(|work| work.token() == self.token) {
            Some(work) => self.restore_retained(work),
            None => {
                let single = all.iter().filter(|entry| entry.value != INCARNATIONS_MOVED);
                let records = shards.entries.iter().chain(single);
                records.for_each(|entry| self.restore_incarnations(entry));
            }
        }
        self.restore_waves(waves.as_ref());
        self.restore_machine_commands(commands.as_ref());
        Ok(RecoveredRevisions {
            jobs: StoreRevision(jobs.revision.0 + 1),
            incarnations: IncarnationShards::new(&shards.entries, all.as_ref(), self.token),
        })
    }

    /// Adds jobs and applies cancellations from entries under [`JOB_PREFIX`].
    fn add_jobs(&self, listing: &Listing) {
        let mut cancelled = Vec::new();
        for entry in &listing.entries {
            match keys::parse_job_key(&entry.key) {
                Some(JobKey::Job(job)) => self.add_job(job, entry),
                Some(JobKey::Cancel(job)) => cancelled.push(job),
                None => {
                    log::warn!(target: "store", "unknown key among the jobs: {}", entry.key)
                }
            }
        }
        let now = self.host.inner.clock.now();
        let mut scheduler = self.scheduler();
        cancelled.into_iter().for_each(|job| scheduler.cancel_job(job, now));
    }

    /// Notes that all jobs up to a revision have been read from the store.
    fn note_jobs_read(&self, revision: StoreRevision) {
        self.jobs_read.fetch_max(revision.0 as u64, Ordering::Relaxed);
    }

    /// Adds one job unless it has finished or is known already.
    pub(super) fn add_job(&self, job: JobId, entry: &Entry) {
        // A watch that lags behind may show a job that has finished since.
        if self.host.cached_outcome(job).is_some() {
            return;
        }
        let Some(spec) = self.host.decode::<JobSpec>(entry) else { return };
        if let Err(error) = spec.validate() {
            let fields = [Field::new("key", &entry.key), Field::new("cause", error)];
            self.host.record(Code::ValueUnreadable, fields);
            return;
        }
        let revision = entry.modified;
        let now = self.host.inner.clock.now();
        if self.scheduler().add_job(job, Arc::new(spec), revision.0 as u64, now) {
            lock(&self.revisions).jobs.insert(job, revision);
        }
    }

    /// Restores the progress of the jobs.
    fn restore_progress(&self, listing: &Listing) {
        for entry in &listing.entries {
            let Some(job) = keys::parse_job_id(&entry.key, PROGRESS_PREFIX) else { continue };
            let Some(progress) = self.host.decode::<Progress>(entry) else { continue };
            self.scheduler().restore_progress(job, &progress);
            lock(&self.revisions).progress.insert(job, entry.modified);
        }
    }

    /// Notes the incarnations that an earlier leader may have given work. That
    /// leader may have continued for [`EXPIRED_LEASE_GRACE`] after its lease
    /// expired, and a worker lease that it granted then lasts for
    /// [`lease_bound`](vg_flow::SchedulingRules::lease_bound).
    fn restore_incarnations(&self, entry: &Entry) {
        let incarnations = self.host.decode::<Vec<IncarnationRecord>>(entry);
        let rules = &self.host.inner.options.rules;
        let now = self.host.inner.clock.now();
        let until = now + EXPIRED_LEASE_GRACE + rules.lease_bound();
        let mut scheduler = self.scheduler();
        match incarnations {
            Some(incarnations) => incarnations
                .iter()
                .for_each(|incarnation| scheduler.add_unresolved(incarnation, until, now)),
            // It may have told of a lease that a late call has renewed.
            None => {
                scheduler.mark_all_unresolved(now + EXPIRED_LEASE_GRACE + rules.late_lease_bound())
            }
        }
    }

    /// Restores the work on all workers as this process knew it when it gave the
    /// leadership up. No other host has led since, and the records in the store tell less.
    fn restore_retained(&self, work: RetainedWork) {
        self.scheduler().restore_work(work, self.host.inner.clock.now());
    }

    /// Restores the progress of the maintenance waves.
    fn restore_waves(&self, entry: Option<&Entry>) {
        let records = entry.and_then(|entry| self.host.decode::<Vec<WaveRecord>>(entry));
        lock(&self.revisions).waves =
            (entry.map(|entry| entry.modified), records.unwrap_or_default());
        let waves = self.host.inner.waves.borrow().clone();
        self.add_waves(&waves);
    }

    /// Notes the machines that an earlier leader commanded recently: they receive no other
    /// command for a while, and may be down for their maintenance. Commands are recorded
    /// before they are sent, so all other machines can receive commands at once.
    fn restore_machine_commands(&self, entry: Option<&Entry>) {
        let now = self.host.inner.clock.now();
        let commands = match entry {
            None => Vec::new(),
            // The record is malformed: no machine receives a command until the
            // hold has passed.
            Some(entry) => match self.host.decode::<Vec<CommandRecord>>(entry) {
                Some(commands) => commands,
                None => return,
            },
        };
        let mut scheduler = self.scheduler();
        scheduler.end_machine_hold(now);
        let recorded: Vec<_> =
            commands.into_iter().map(|each| RecordedCommand::from_record(each, now)).collect();
        for command in &recorded {
            scheduler.restore_command(&command.to_earlier(now), now);
        }
        lock(&self.revisions).commands = (entry.map(|entry| entry.modified), recorded);
    }

    /// Asks for the revision of the store once the earlier leader can't start any more jobs that
    /// are accepted: they may be read long after that.
    pub(super) async fn end_overlap(self: Arc<Self>) {
        tokio::time::sleep(overlap_time(&self.host)).await;
        let prefix = &self.host.inner.platform.layout().drain_prefix;
        loop {
            let sent = self.host.inner.clock.now();
            if let Ok(listing) = self.host.store().range(prefix).await
                && self.scheduler().note_revision(listing.revision.0 as u64, sent)
            {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Follows jobs and cancellations in the store.
    pub(super) async fn follow_jobs(self: Arc<Self>, from: StoreRevision) {
        let prefix = Key::from(JOB_PREFIX);
        let mut next = from;
        loop {
            let error = self.watch_jobs(&prefix, &mut next).await;
            if matches!(error, Error::Compacted { .. })
                && let Ok(listing) = self.host.store().range(&prefix).await
                && self.holds_lease()
            {
                self.add_jobs(&listing);
                self.note_jobs_read(listing.revision);
                next = StoreRevision(listing.revision.0 + 1);
                self.wake.notify_one();
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Watches jobs and cancellations from revision `next` on. Returns the
    /// error that ended the watch; `next` is then where to continue.
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
            // While the lease may have expired, another host may lead and start
            // these jobs. `next` is not advanced, so they are read again later.
            if !self.holds_lease() {
                let reason = "the lease is not proved".to_owned();
                return Error::Unavailable { reason };
            }
            let entries = batch.changes.iter().filter_map(|(_, entry)| entry.clone());
            self.add_jobs(&Listing { revision: batch.revision, entries: entries.collect() });
            self.note_jobs_read(batch.revision);
            *next = StoreRevision(batch.revision.0 + 1);
            self.wake.notify_one();
            tokio::time::sleep(BATCH_DELAY).await;
        }
    }

    /// Follows the registrations of workers.
    pub(super) async fn follow_workers(self: Arc<Self>) {
        let prefix = self.host.inner.platform.layout().worker_prefix.clone();
        let leader = Arc::clone(&self);
        follow(&self.host, &prefix, move |update| match update {
            PrefixUpdate::Listed(listing) => leader.replace_workers(&listing),
            PrefixUpdate::Changed(batch) => {
                for (key, entry) in &batch.changes {
                    match entry {
                        Some(entry) => leader.register_worker(entry),
                        None => leader.remove_registration(key),
                    }
                }
            }
        })
        .await;
    }

    /// Registers all listed workers and deregisters the others.
    fn replace_workers(self: &Arc<Self>, listing: &Listing) {
        let listed: std::collections::HashSet<_> =
            listing.entries.iter().map(|entry| entry.key.clone()).collect();
        for entry in &listing.entries {
            self.register_worker(entry);
        }
        let prefix = &self.host.inner.platform.layout().worker_prefix;
        // The scheduler's lock must not be held over the loop.
        let ids = self.scheduler().worker_ids();
        for id in ids {
            if !listed.contains(&Key(smol_str::format_smolstr!("{prefix}{id}"))) {
                self.deregister_worker(id);
            }
        }
    }

    /// Deregisters the worker of a deleted key.
    fn remove_registration(self: &Arc<Self>, key: &Key) {
        let prefix = &self.host.inner.platform.layout().worker_prefix;
        let id = key.0.strip_prefix(prefix.0.as_str()).and_then(|id| id.parse().ok());
        if let Some(id) = id {
            self.deregister_worker(id);
        }
    }

    /// Deregisters a worker whose registration is gone: at once, or after an outage of the
    /// store if it has not registered again within [`LAPSED_TIME`]. Until then the answers to
    /// polls tell whether it is alive.
    fn deregister_worker(self: &Arc<Self>, id: HostId) {
        let since_outage = self.host.store().since_outage();
        let remaining = since_outage.map_or(Duration::ZERO, |age| LAPSED_TIME.saturating_sub(age));
        if remaining.is_zero() {
            self.end_registration(&id);
        } else if lock(&self.lapsed_workers).insert(id.clone()) {
            let leader = Arc::clone(self);
            self.spawn(async move {
                tokio::time::sleep(remaining).await;
                if lock(&leader.lapsed_workers).remove(&id) {
                    leader.end_registration(&id);
                }
            });
        }
    }

    fn end_registration(&self, id: &HostId) {
        self.scheduler().deregister(id);
        self.host.record(Code::EndpointRemoved, [Field::new("worker", id)]);
        self.wake.notify_one();
    }

    /// Registers or updates a worker and starts to poll it. A malformed
    /// registration is recorded and otherwise ignored.
    fn register_worker(self: &Arc<Self>, entry: &Entry) {
        let parsed = self.host.inner.platform.parse_worker(&entry.key, &entry.value);
        let worker = match parsed {
            Ok(worker) => worker,
            Err(error) => {
                let fields = [Field::new("key", &entry.key), Field::new("cause", error)];
                self.host.record(Code::ValueUnreadable, fields);
                return;
            }
        };
        let now = self.host.inner.clock.now();
        lock(&self.lapsed_workers).remove(&worker.incarnation.id);
        let known = self.scheduler().knows(&worker.incarnation);
        if self.scheduler().register(&worker, now) {
            self.record_needed.notify_one();
        }
        if !known {
            let fields = [
                Field::new("worker", &worker.incarnation.id),
                Field::new("born", worker.incarnation.start_ms),
                Field::new("pool", &worker.incarnation.pool),
                Field::new("machine", worker.machine.as_deref().unwrap_or("none")),
            ];
            self.host.record(Code::EndpointJoined, fields);
        }
        if worker.draining {
            self.host.record(Code::EndpointLeaving, [Field::new("worker", &worker.incarnation.id)]);
        }
        self.start_polling(worker.incarnation.id.clone());
        self.wake.notify_one();
    }
}
