//! The work of the leading host, from takeover until the leadership is lost.

mod commands;
mod commit;
mod conflicts;
mod contention;
mod give_way;
mod grounds;
mod incarnation_shards;
mod incarnations;
mod learned;
mod load;
mod machines;
mod outage;
mod outcomes;
mod polls;
mod recovery;
mod unknown_jobs;
mod zone_drains;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{CommandTarget, FencingToken, JobSpec, JobState, MachineCommand, Scheduler};
use vg_store::{Entry, LeaseId, Store, StoreRevision};

use crate::host::lock;
use crate::keys::TERM_KEY;
use crate::load::LeaderLoad;
use crate::{Host, Platform};

/// How long a leader continues with the work that it knows after its lease may
/// have expired. It continues for longer only while all peers report that they
/// cannot reach the store either.
pub(crate) const EXPIRED_LEASE_GRACE: Duration = Duration::from_millis(1500);
/// Maximum time that a round of decisions waits for a change after
/// [`ROUND_INTERVAL_MIN`] has passed.
const ROUND_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Minimum time between two rounds of decisions.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(4);
/// Pause between two rounds as a multiple of the time that a round takes, so that
/// calls get most of the processor.
const ROUND_PAUSE_FACTOR: u32 = 3;
/// Time limit for the final record of incarnations in a planned stop. With a
/// slow store, a write that is already in progress has to complete before the
/// final one.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(2000);

/// The state of a host while it leads.
#[derive(Debug)]
pub(crate) struct Leader<P: Platform, C: Clock> {
    host: Host<P, C>,
    token: FencingToken,
    /// The host's lease under which the leadership was last proved. Under a later one
    /// another host may have taken it meanwhile.
    lease: Mutex<LeaseId>,
    /// When the last granted renewal of that lease was sent.
    lease_confirmed: Mutex<Option<DualInstant>>,
    scheduler: Mutex<Scheduler>,
    /// Wakes the decision loop after a change that may require decisions.
    wake: Notify,
    /// Notified when there are changes to make durable.
    commit_needed: Notify,
    /// Notified when changes have become durable.
    committed: Notify,
    /// Notified when the record of incarnations has to be written.
    record_needed: Notify,
    /// Notified when records of incarnations have become durable.
    recorded: Notify,
    /// Notified when the final record, which states what each worker may run,
    /// is durable.
    handover_done: Notify,
    /// Whether the leadership is lost.
    lost: watch::Sender<bool>,
    /// Whether the state that earlier leaders left has been restored.
    recovered: AtomicBool,
    /// Revision of the store up to which all jobs have been read from it.
    jobs_read: AtomicU64,
    /// When all peers last reported that they do not reach the store.
    outage_reported: Mutex<Option<DualInstant>>,
    /// Workers whose registration was missing after an outage of the store.
    lapsed_workers: Mutex<std::collections::HashSet<HostId>>,
    /// Workers that are being polled.
    polled_workers: Mutex<std::collections::HashSet<HostId>>,
    tasks: Mutex<JoinSet<()>>,
    /// Commands to machines that were decided and are not in a record yet, and what
    /// was known of each machine then.
    machine_commands: Mutex<Vec<(MachineCommand, CommandTarget)>>,
    /// Serializes the writes of the command record.
    record_lock: tokio::sync::Mutex<()>,
    revisions: Mutex<commit::Revisions>,
    /// The stored outcomes that are to be deleted.
    outcomes: Mutex<outcomes::StoredOutcomes>,
    load: Mutex<LeaderLoad>,
}

/// Leads until the leadership is lost or handed over. `lease` is that of the leader key.
pub(crate) async fn lead<P: Platform, C: Clock>(
    host: &Host<P, C>,
    token: FencingToken,
    lease: LeaseId,
) {
    let started = host.inner.clock.now();
    host.record(Code::LeadershipTaken, [Field::new("fence", token)]);
    let Some(config) = host.config() else { return };
    let rules = host.inner.options.rules.clone();
    let mut scheduler = Scheduler::new(rules, token, config, started);
    scheduler.set_overlap(started + recovery::overlap_time(host));
    let leader = Arc::new(Leader {
        host: host.clone(),
        token,
        lease: Mutex::new(lease),
        lease_confirmed: Mutex::default(),
        scheduler: Mutex::new(scheduler),
        wake: Notify::new(),
        commit_needed: Notify::new(),
        committed: Notify::new(),
        record_needed: Notify::new(),
        recorded: Notify::new(),
        handover_done: Notify::new(),
        lost: watch::Sender::new(false),
        recovered: AtomicBool::new(false),
        jobs_read: AtomicU64::new(token.0),
        outage_reported: Mutex::default(),
        lapsed_workers: Mutex::default(),
        polled_workers: Mutex::default(),
        tasks: Mutex::new(JoinSet::new()),
        machine_commands: Mutex::default(),
        record_lock: tokio::sync::Mutex::default(),
        revisions: Mutex::default(),
        outcomes: Mutex::default(),
        load: Mutex::default(),
    });
    *lock(&host.inner.leader) = Some(Arc::clone(&leader));
    host.inner.metrics.set_leading(true);
    let mut lost = leader.lost.subscribe();
    let gave_up = tokio::select! {
        () = leader.run() => true,
        _ = lost.wait_for(|lost| *lost) => false,
    };
    *lock(&host.inner.leader) = None;
    leader.end_tasks().await;
    if gave_up && leader.is_recovered() {
        *lock(&host.inner.retained) = Some(leader.scheduler().retain_work());
    }
    host.inner.metrics.clear_leader();
    host.record(Code::LeadershipLost, [Field::new("fence", token)]);
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Recovers the state, starts the background tasks and makes decisions.
    async fn run(self: &Arc<Self>) {
        let Some(recovered) = self.recover().await else { return };
        self.spawn(Arc::clone(self).follow_jobs(recovered.jobs));
        self.spawn(Arc::clone(self).end_overlap());
        self.spawn(Arc::clone(self).follow_workers());
        self.spawn(Arc::clone(self).record_incarnations(recovered.incarnations));
        self.spawn(Arc::clone(self).commit_changes());
        self.spawn(Arc::clone(self).follow_machines());
        self.spawn(Arc::clone(self).maintain_leader_key());
        self.spawn(Arc::clone(self).watch_outage());
        self.spawn(Arc::clone(self).show_contention());
        self.spawn(Arc::clone(self).follow_config());
        self.spawn(Arc::clone(self).follow_drained_zones());
        self.spawn(Arc::clone(self).list_drains());
        self.spawn(Arc::clone(self).give_way_to_larger());
        self.spawn(Arc::clone(self).report_learned());
        self.spawn(Arc::clone(self).delete_outcomes());
        self.recovered.store(true, Ordering::Relaxed);
        self.decide().await;
    }

    /// Makes decisions in rounds until the lease has been expired for longer
    /// than [`EXPIRED_LEASE_GRACE`] without an outage of the store.
    async fn decide(self: &Arc<Self>) {
        let host = &self.host;
        loop {
            let woken = self.wake.notified();
            if !self.may_act() {
                host.record(Code::LeadershipUncertain, [Field::new("fence", self.token)]);
                return;
            }
            let started = host.inner.clock.now();
            let actions = self.scheduler().plan(started, host.inner.clock.wall());
            for action in actions {
                self.execute(action);
            }
            self.send_machine_commands();
            self.record_losses();
            self.update_load();
            if self.scheduler().has_changes() {
                self.commit_needed.notify_one();
            }
            if self.scheduler().take_records_changed() {
                self.record_needed.notify_one();
            }
            let took = host.inner.clock.now().saturating_duration_since(started);
            tokio::time::sleep(ROUND_INTERVAL_MIN.max(took * ROUND_PAUSE_FACTOR)).await;
            let _ = tokio::time::timeout(ROUND_INTERVAL_MAX, woken).await;
        }
    }

    /// Writes the leader key again after it expired with its lease, or after the host got
    /// another lease. Ends the leadership if another host has taken the leadership.
    async fn maintain_leader_key(self: Arc<Self>) {
        loop {
            let changed = self.host.inner.members_changed.notified();
            let period = self.host.inner.options.renewal_period();
            let _ = tokio::time::timeout(period, changed).await;
            if self.scheduler().is_frozen() {
                // The key was deleted for the next leader.
                return;
            }
            let Some(lease) = *lock(&self.host.inner.lease) else { continue };
            if self.is_published() && *lock(&self.lease) == lease {
                continue;
            }
            let proved = match self.host.republish_leader(self.token).await {
                Ok(None) => true,
                Ok(Some(found)) => self.still_leads(&found).await && self.is_published(),
                Err(error) => {
                    log::debug!(target: "store", "cannot write the leader key: {error}");
                    false
                }
            };
            if proved {
                *lock(&self.lease) = lease;
                self.wake.notify_one();
            }
        }
    }

    /// Whether the leader key is that of this host, as far as it knows.
    fn is_published(&self) -> bool {
        let published = lock(&self.host.inner.members).leader.clone();
        published.is_some_and(|(leader, _)| leader.nonce == self.host.inner.nonce)
    }

    /// Whether the host's lease is valid and the leadership was proved under it. A host
    /// gets another lease after an outage in which its lease ended, and may not know yet
    /// that another one leads.
    fn holds_lease(&self) -> bool {
        self.host.is_lease_valid() && *lock(&self.host.inner.lease) == Some(*lock(&self.lease))
    }

    /// Passes new configurations and maintenance waves to the scheduler.
    async fn follow_config(self: Arc<Self>) {
        let mut config = self.host.inner.config.subscribe();
        let mut waves = self.host.inner.waves.subscribe();
        loop {
            if let Some(config) = config.borrow_and_update().clone() {
                self.scheduler().set_config(config);
            }
            self.add_waves(&waves.borrow_and_update().clone());
            self.wake.notify_one();
            let changed = tokio::select! {
                changed = config.changed() => changed,
                changed = waves.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Whether the term is unchanged after a transaction that expected it was
    /// refused. Ends the leadership if it has changed. `found` may contain only
    /// some of the keys.
    async fn still_leads(&self, found: &[Entry]) -> bool {
        let found_term = found.iter().find(|entry| entry.key.0 == TERM_KEY).cloned();
        let term = match found_term {
            Some(term) => Some(term),
            None => match self.host.store().get(&TERM_KEY.into()).await {
                Ok(term) => term,
                // Nothing is known. If the term has changed, the next
                // transaction is refused as well.
                Err(_) => return true,
            },
        };
        let leads = term.is_some_and(|term| term.modified.0 as u64 == self.token.0);
        if !leads {
            self.end_leadership("the term has changed");
        }
        leads
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.scheduler)
    }

    /// Runs a background task that is aborted when the leadership ends.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        // The set keeps finished tasks until they are joined.
        while let Some(finished) = tasks.try_join_next() {
            if let Err(error) = finished {
                log::error!(target: "leader", "a background task of the leader failed: {error}");
                self.end_leadership("a background task has failed");
            }
        }
        tasks.spawn(task);
    }

    /// Ends all background tasks, also those that they start meanwhile. Nothing is sent in
    /// this leadership afterwards.
    async fn end_tasks(&self) {
        loop {
            let mut tasks = std::mem::take(&mut *lock(&self.tasks));
            if tasks.is_empty() {
                return;
            }
            tasks.shutdown().await;
        }
    }

    /// Ends the leadership and records the reason.
    fn end_leadership(&self, reason: &str) {
        let first = !self.lost.send_replace(true);
        if first {
            let fields = [Field::new("fence", self.token), Field::new("reason", reason)];
            self.host.record(Code::LeadershipUncertain, fields);
        }
    }

    /// Stops making decisions, records for the next leader which tasks each
    /// worker may run, and ends the leadership. The next leader learns from the
    /// workers whatever is not durable within [`HANDOVER_TIMEOUT`].
    pub(crate) async fn hand_over(&self, reason: &str) {
        self.scheduler().freeze();
        self.record_needed.notify_one();
        let handover_done =
            tokio::time::timeout(HANDOVER_TIMEOUT, self.handover_done.notified()).await.is_ok();
        let incomplete = if handover_done { "" } else { ", not handed over" };
        self.end_leadership(&format!("{reason}{incomplete}"));
    }

    /// Adds a job that a host has made durable.
    pub(crate) fn add_durable_job(&self, job: JobId, spec: Arc<JobSpec>, revision: u64) {
        // While the lease may have expired, another host may lead and start the
        // job.
        if !self.is_recovered() || !self.holds_lease() {
            return;
        }
        // A message that was under way for long. The job was read from the store, or has
        // ended since it was accepted and would run again.
        if revision <= self.jobs_read.load(Ordering::Relaxed) {
            return;
        }
        let now = self.host.inner.clock.now();
        if self.host.cached_outcome(job).is_none()
            && self.scheduler().add_job(job, spec, revision, now)
        {
            lock(&self.revisions).jobs.insert(job, StoreRevision(revision as i64));
            self.wake.notify_one();
        }
    }

    /// Returns for how long new jobs should be refused; `None` if they can be
    /// started in time.
    pub(crate) fn refusal_time(&self) -> Option<Duration> {
        let now = self.host.inner.clock.now();
        self.is_recovered().then(|| self.scheduler().refusal_time(now)).flatten()
    }

    /// Cancels a job whose cancellation a host has made durable.
    pub(crate) fn apply_cancel(&self, job: JobId) {
        let now = self.host.inner.clock.now();
        self.scheduler().cancel_job(job, now);
        self.wake.notify_one();
    }

    /// Returns the state of a job in memory and its team.
    pub(crate) fn state(&self, job: JobId) -> Option<(JobState, Option<TeamId>)> {
        let scheduler = self.scheduler();
        Some((scheduler.job_state(job)?, scheduler.job_team(job)?))
    }

    /// Returns the number of a queue's jobs of which no task has started.
    /// `None` until recovery is complete.
    pub(crate) fn pending(&self, queue: &QueueId) -> Option<usize> {
        self.is_recovered().then(|| self.scheduler().pending_jobs(queue))
    }

    /// Whether the state that earlier leaders left has been restored.
    fn is_recovered(&self) -> bool {
        self.recovered.load(Ordering::Relaxed)
    }
}
