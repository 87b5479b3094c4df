//! What the leading host does, from taking over to losing the leadership.

mod commit;
mod lives;
mod load;
mod machines;
mod orders;
mod workers;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{FencingToken, JobSpec, JobState, MachineCommand, Scheduler};
use vg_store::{Entry, Store, StoreRevision};

use crate::host::lock;
use crate::keys::TERM;
use crate::mark::Mark;
use crate::{Host, Platform};

/// Time for which a leader without proof of its lease goes on with work that
/// it knows, unless peers say that the store is away for them too.
pub(crate) const UNVERIFIED_MAX: Duration = Duration::from_millis(1500);
/// Age of what peers said of the store from which it counts no more.
const OUTAGE_FRESH: Duration = Duration::from_millis(1200);
/// Time between two questions to peers about the store.
const OUTAGE_ASK: Duration = Duration::from_millis(300);
/// Longest time between two rounds of decisions.
const ROUND: Duration = Duration::from_millis(100);
/// Shortest time between two rounds of decisions.
const ROUND_GAP: Duration = Duration::from_millis(4);
/// Longest time that a planned stop waits for the record of what may run where,
/// which a slow store may take twice before the last one is written.
const HAND_OVER: Duration = Duration::from_millis(1500);

/// The leadership of one host.
#[derive(Debug)]
pub(crate) struct Leader<P: Platform, C: Clock> {
    host: Host<P, C>,
    fence: FencingToken,
    flow: Mutex<Scheduler>,
    /// Something has changed that may call for decisions.
    wake: Notify,
    /// Something has changed that is to be durable.
    commit: Notify,
    /// Changes have become durable.
    swept: Notify,
    /// A life has to be recorded.
    lives: Notify,
    /// What each worker may run after the last decision is durable.
    handed: Notify,
    lost: watch::Sender<bool>,
    loaded: AtomicBool,
    /// When peers last said that the store is away for all of them.
    outage: Mutex<Option<Mark>>,
    /// Workers that are being looked at.
    watched: Mutex<std::collections::HashSet<HostId>>,
    tasks: Mutex<JoinSet<()>>,
    /// Orders to machines that were decided in this round.
    machine_orders: Mutex<Vec<MachineCommand>>,
    /// Records of orders are written one after the other.
    order_turn: tokio::sync::Mutex<()>,
    committed: Mutex<commit::Versions>,
}

/// Leads until the leadership is lost or handed over.
pub(crate) async fn lead<P: Platform, C: Clock>(host: &Host<P, C>, fence: FencingToken) {
    let started = host.inner.clock.now();
    host.record(Code::LeadershipTaken, [Field::new("fence", fence)]);
    let Some(content) = host.content() else { return };
    let rules = host.inner.options.rules.clone();
    let leader = Arc::new(Leader {
        host: host.clone(),
        fence,
        flow: Mutex::new(Scheduler::new(rules, fence, content, started)),
        wake: Notify::new(),
        commit: Notify::new(),
        swept: Notify::new(),
        lives: Notify::new(),
        handed: Notify::new(),
        lost: watch::Sender::new(false),
        loaded: AtomicBool::new(false),
        outage: Mutex::default(),
        watched: Mutex::default(),
        tasks: Mutex::new(JoinSet::new()),
        machine_orders: Mutex::default(),
        order_turn: tokio::sync::Mutex::default(),
        committed: Mutex::default(),
    });
    *lock(&host.inner.leader) = Some(Arc::clone(&leader));
    host.inner.metrics.set_leading(true);
    let mut lost = leader.lost.subscribe();
    tokio::select! {
        () = leader.run() => {}
        _ = lost.wait_for(|lost| *lost) => {}
    }
    *lock(&host.inner.leader) = None;
    host.inner.metrics.set_leading(false);
    lock(&leader.tasks).abort_all();
    host.record(Code::LeadershipLost, [Field::new("fence", fence)]);
}

impl<P: Platform, C: Clock> Leader<P, C> {
    async fn run(self: &Arc<Self>) {
        let Some(started) = self.load().await else { return };
        self.spawn(Arc::clone(self).follow_jobs(started.jobs));
        self.spawn(Arc::clone(self).follow_workers());
        self.spawn(Arc::clone(self).record_lives(started.lives));
        self.spawn(Arc::clone(self).commit_changes());
        self.spawn(Arc::clone(self).follow_machines());
        self.spawn(Arc::clone(self).keep_shown());
        self.spawn(Arc::clone(self).follow_outage());
        self.spawn(Arc::clone(self).follow_content());
        self.loaded.store(true, Ordering::Relaxed);
        self.decide().await;
    }

    /// Decides again and again, as long as the host may act.
    async fn decide(self: &Arc<Self>) {
        let host = &self.host;
        loop {
            let woken = self.wake.notified();
            if host.unverified_for() > UNVERIFIED_MAX && !self.is_outage() {
                host.record(Code::LeadershipDoubtful, [Field::new("fence", self.fence)]);
                return;
            }
            let actions = self.flow().plan(host.inner.clock.now(), host.inner.clock.wall());
            for action in actions {
                self.carry_out(action);
            }
            self.send_machine_orders();
            if self.flow().has_changes() {
                self.commit.notify_one();
            }
            if self.flow().take_records_changed() {
                self.lives.notify_one();
            }
            tokio::time::sleep(ROUND_GAP).await;
            let _ = tokio::time::timeout(ROUND, woken).await;
        }
    }

    /// Shows again who leads if the key's lease has lapsed, and ends the
    /// leadership if another host has taken it.
    async fn keep_shown(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.host.inner.options.renewal_period()).await;
            let shown = lock(&self.host.inner.members).leader.clone();
            match shown {
                Some((leader, _)) if leader.nonce == self.host.inner.nonce => {}
                _ => match self.host.show_leader(self.fence).await {
                    Ok(None) => {}
                    Ok(Some(found)) => _ = self.still_leads(&found).await,
                    Err(error) => log::debug!(target: "store", "leader not shown: {error}"),
                },
            }
        }
    }

    /// Whether peers say that the store is away for all of them.
    ///
    /// No other host can lead then, and this one goes on with what it knows.
    fn is_outage(&self) -> bool {
        let said = *lock(&self.outage);
        said.is_some_and(|mark| mark.age(&self.host.inner.clock) < OUTAGE_FRESH)
    }

    /// Asks peers about the store while its answers are missing.
    async fn follow_outage(self: Arc<Self>) {
        let lease = self.host.inner.options.lease();
        loop {
            tokio::time::sleep(OUTAGE_ASK).await;
            if self.host.unverified_for_lease(lease / 2).is_zero() {
                continue;
            }
            let asked = Mark::now(&self.host.inner.clock);
            if self.host.peers_lost_store().await {
                *lock(&self.outage) = Some(asked);
            }
        }
    }

    async fn follow_content(self: Arc<Self>) {
        let mut content = self.host.inner.content.subscribe();
        let mut waves = self.host.inner.waves.subscribe();
        loop {
            if let Some(content) = content.borrow_and_update().clone() {
                self.flow().set_config(content);
            }
            self.add_waves(&waves.borrow_and_update().clone(), false);
            self.wake.notify_one();
            let changed = tokio::select! {
                changed = content.changed() => changed,
                changed = waves.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Whether the term is unchanged after a refused transaction that expected
    /// it; if not, the leadership ends. The answer may name some keys only.
    async fn still_leads(&self, found: &[Entry]) -> bool {
        let named = found.iter().find(|entry| entry.key.0 == TERM).cloned();
        let term = match named {
            Some(term) => Some(term),
            None => match self.host.store().get(&TERM.into()).await {
                Ok(term) => term,
                // Nothing is proved; the next transaction meets the same.
                Err(_) => return true,
            },
        };
        let leads = term.is_some_and(|term| term.modified.0 as u64 == self.fence.0);
        if !leads {
            self.lose("the term has changed");
        }
        leads
    }

    fn flow(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.flow)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        // The set keeps tasks that have ended until they are taken out.
        while let Some(ended) = tasks.try_join_next() {
            if let Err(error) = ended {
                log::error!(target: "leader", "a task of the leader failed: {error}");
            }
        }
        tasks.spawn(task);
    }

    /// Ends the leadership.
    fn lose(&self, reason: &str) {
        let first = !self.lost.send_replace(true);
        if first {
            let fields = [Field::new("fence", self.fence), Field::new("reason", reason)];
            self.host.record(Code::LeadershipDoubtful, fields);
        }
    }

    /// Decides no more, tells the next leader what may run where, and ends the
    /// leadership. What is not durable by then the next one hears from the
    /// workers.
    pub(crate) async fn hand_over(&self) {
        self.flow().freeze();
        self.lives.notify_one();
        let handed = tokio::time::timeout(HAND_OVER, self.handed.notified()).await.is_ok();
        self.lose(if handed { "planned stop" } else { "planned stop, not handed over" });
    }

    /// Takes a job that a host has made durable.
    pub(crate) fn take_job(&self, job: JobId, spec: Arc<JobSpec>, revision: u64) {
        // While the lease may have lapsed, another host may lead and start it.
        if !self.is_loaded() || !self.host.is_verified() {
            return;
        }
        let now = self.host.inner.clock.now();
        if self.host.known_end(job).is_none() && self.flow().add_job(job, spec, revision, now) {
            lock(&self.committed).jobs.insert(job, StoreRevision(revision as i64));
            self.wake.notify_one();
        }
    }

    /// Takes a cancellation that a host has made durable.
    pub(crate) fn take_cancel(&self, job: JobId) {
        let now = self.host.inner.clock.now();
        self.flow().cancel_job(job, now);
        self.wake.notify_one();
    }

    /// Returns the state of a job in memory, and its team.
    pub(crate) fn state(&self, job: JobId) -> Option<(JobState, Option<TeamId>)> {
        let flow = self.flow();
        Some((flow.job_state(job)?, flow.job_team(job)?))
    }

    /// Returns the number of a queue's jobs that have not begun.
    pub(crate) fn pending(&self, queue: &QueueId) -> Option<usize> {
        self.is_loaded().then(|| self.flow().pending_jobs(queue))
    }

    fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }
}
