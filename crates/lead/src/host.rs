//! The state of one entry host and the background tasks that it runs.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::Rng;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder};
use vg_flow::{JobOutcome, OperatorConfig, RetainedWork, RetrySlots, Wave};
use vg_net::{Client, Limits, Server, ServerHandle};
use vg_store::monitor::MonitoredStore;
use vg_store::{LeaseId, Store};

use crate::admit::EventLimit;
use crate::error::StartError;
use crate::leader::Leader;
use crate::load::ReceivedLoad;
use crate::members::Members;
use crate::messages::StatusReply;
use crate::retry::CallerRetries;
use crate::submit::UNSENT_MAX;
use crate::unresolved::{AcceptedJobs, UnresolvedWrites};
use crate::zone_drains::DrainedZones;
use crate::{
    Metrics, Options, Platform, client_gauges, delay, election, follow, probe, serve, session,
    store_gauges,
};

/// Time limit for connecting to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an unused connection to a peer is kept open.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of job outcomes that a host keeps in memory; the oldest is evicted
/// first.
const CACHED_OUTCOMES_MAX: usize = 20_000;
/// Age of the store's last answer from which the store counts as unreachable.
const STORE_ANSWER_MAX_AGE: Duration = Duration::from_millis(2000);

/// Handle of a running host; clones refer to the same host.
#[derive(Debug)]
pub struct Host<P: Platform, C: Clock> {
    pub(crate) inner: Arc<Inner<P, C>>,
}

impl<P: Platform, C: Clock> Clone for Host<P, C> {
    fn clone(&self) -> Host<P, C> {
        Host { inner: Arc::clone(&self.inner) }
    }
}

/// Shared state of a host.
#[derive(Debug)]
pub(crate) struct Inner<P: Platform, C: Clock> {
    pub(crate) platform: P,
    pub(crate) store: MonitoredStore<P::Store, C>,
    pub(crate) clock: C,
    pub(crate) options: Options,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder<C>,
    pub(crate) peers: Client,
    /// Random number that distinguishes this start of the process from others.
    pub(crate) nonce: u64,
    pub(crate) config: watch::Sender<Option<Arc<OperatorConfig>>>,
    /// Key and value of the configuration as stored, for peers that cannot
    /// reach the store.
    pub(crate) raw_config: Mutex<Option<(SmolStr, bytes::Bytes)>>,
    pub(crate) waves: watch::Sender<BTreeMap<u64, Wave>>,
    pub(crate) drained_zones: watch::Sender<DrainedZones>,
    pub(crate) members: Mutex<Members>,
    pub(crate) members_changed: Notify,
    pub(crate) lease: Mutex<Option<LeaseId>>,
    /// When the last renewal that the store granted was sent.
    pub(crate) lease_confirmed: Mutex<Option<DualInstant>>,
    /// The leader state while this host leads.
    pub(crate) leader: Mutex<Option<Arc<Leader<P, C>>>>,
    /// The work on all workers as known when this host last gave the leadership up, until
    /// it has been restored or another host has led.
    pub(crate) retained: Mutex<Option<RetainedWork>>,
    pub(crate) outcomes: Mutex<OutcomeCache>,
    pub(crate) unresolved: Mutex<UnresolvedWrites>,
    pub(crate) accepted: Mutex<AcceptedJobs>,
    /// Places for submissions that wait unsent while the store does not answer.
    pub(crate) unsent_places: Semaphore,
    pub(crate) caller_retries: CallerRetries,
    pub(crate) stopping: AtomicBool,
    /// Until when new jobs are refused, because the leader can not start them in
    /// time.
    pub(crate) refusing_until: Mutex<Option<Instant>>,
    /// The last digest of the load of contended pools.
    pub(crate) load: Mutex<ReceivedLoad>,
    pub(crate) retries: Mutex<RetrySlots>,
    pub(crate) rejection_events: Mutex<EventLimit>,
    /// When this host last gave up the leadership so that another one leads.
    pub(crate) gave_up: Mutex<Option<Instant>>,
}

/// The outcomes of the jobs that finished most recently.
#[derive(Debug, Default)]
pub(crate) struct OutcomeCache {
    outcomes: std::collections::HashMap<JobId, (Option<TeamId>, JobOutcome)>,
    insertion_order: std::collections::VecDeque<JobId>,
}

impl OutcomeCache {
    pub(crate) fn get(&self, job: JobId) -> Option<StatusReply> {
        self.outcomes.get(&job).map(|(team, outcome)| StatusReply::Finished(team.clone(), *outcome))
    }

    /// Adds an outcome and evicts the oldest one if the cache is full.
    pub(crate) fn set(&mut self, job: JobId, team: Option<TeamId>, outcome: JobOutcome) {
        if self.outcomes.insert(job, (team, outcome)).is_none() {
            self.insertion_order.push_back(job);
        }
        if self.insertion_order.len() > CACHED_OUTCOMES_MAX
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

/// Locks a mutex, ignoring poisoning: every update leaves the data consistent,
/// so a panic in another task does not make it unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The background tasks of a host and its server for peers. Dropping it aborts
/// the tasks.
#[derive(Debug)]
pub struct HostTasks {
    set: JoinSet<()>,
    server: ServerHandle,
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Starts a host: listens for peers and starts to follow the store.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] if the address for peers cannot be bound,
    /// [`StartError::Metrics`] if the metrics cannot be registered.
    pub async fn start(
        platform: P,
        clock: C,
        options: Options,
        recorder: Recorder<C>,
    ) -> Result<(Host<P, C>, HostTasks), StartError> {
        let limits = Limits { max_connections: options.max_peers, ..Limits::default() };
        let server = Server::bind(options.peer_addr, limits)
            .await
            .map_err(|source| StartError::Listen { source })?
            .with_budget(options.budget.clone());
        let options = Options { peer_addr: server.addr(), ..options };
        let metrics = Metrics::new().map_err(|source| StartError::Metrics { source })?;
        let inner = Inner {
            store: MonitoredStore::new(platform.store().clone(), clock.clone()),
            platform,
            clock,
            options,
            metrics,
            recorder,
            peers: Client::new(PEER_CONNECT_TIMEOUT, PEER_IDLE_TIMEOUT),
            nonce: rand::rng().random(),
            config: watch::Sender::new(None),
            raw_config: Mutex::default(),
            waves: watch::Sender::new(BTreeMap::new()),
            drained_zones: watch::Sender::new(DrainedZones::default()),
            members: Mutex::default(),
            members_changed: Notify::new(),
            lease: Mutex::default(),
            lease_confirmed: Mutex::default(),
            leader: Mutex::default(),
            retained: Mutex::default(),
            outcomes: Mutex::default(),
            unresolved: Mutex::default(),
            accepted: Mutex::default(),
            unsent_places: Semaphore::new(UNSENT_MAX),
            caller_retries: CallerRetries::default(),
            stopping: AtomicBool::new(false),
            refusing_until: Mutex::default(),
            load: Mutex::default(),
            retries: Mutex::default(),
            rejection_events: Mutex::default(),
            gave_up: Mutex::default(),
        };
        let host = Host { inner: Arc::new(inner) };
        let server = server.serve(serve::PeerService(host.clone()));
        let mut set = JoinSet::new();
        set.spawn(follow::operator_items(host.clone()));
        set.spawn(follow::members(host.clone()));
        set.spawn(follow::fetch_peer_config(host.clone()));
        set.spawn(session::maintain_lease(host.clone()));
        set.spawn(election::run(host.clone()));
        set.spawn(probe::run(host.clone()));
        set.spawn(store_gauges::publish(host.clone()));
        set.spawn(client_gauges::publish(host.clone()));
        set.spawn(delay::measure(host.clone()));
        host.record(
            Code::ProcessStarted,
            [
                Field::new("node", &host.inner.options.node),
                Field::new("control", host.inner.options.peer_addr),
            ],
        );
        Ok((host, HostTasks { set, server }))
    }

    /// Returns the operators' configuration in force on this host.
    pub fn config(&self) -> Option<Arc<OperatorConfig>> {
        self.inner.config.borrow().clone()
    }

    /// Whether this host is the leader.
    pub fn is_leading(&self) -> bool {
        self.leading().is_some()
    }

    /// Returns the metrics of this host.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Whether the load balancer should send callers here: the host is not
    /// stopping, has a configuration and reaches the store or a peer.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.config().is_some()
            && (self.is_store_reachable() || self.has_reachable_peer())
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }

    /// Whether the store answered within [`STORE_ANSWER_MAX_AGE`].
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store().silence() < STORE_ANSWER_MAX_AGE
    }

    /// Whether a peer answered within [`STORE_ANSWER_MAX_AGE`].
    fn has_reachable_peer(&self) -> bool {
        lock(&self.inner.members).answered_within(&self.inner.clock, STORE_ANSWER_MAX_AGE)
    }

    /// Returns the leader state if this host leads.
    pub(crate) fn leading(&self) -> Option<Arc<Leader<P, C>>> {
        lock(&self.inner.leader).clone()
    }

    pub(crate) fn store(&self) -> &MonitoredStore<P::Store, C> {
        &self.inner.store
    }

    /// Records a numbered event in the log and the timeline.
    pub fn record(&self, code: Code, fields: impl IntoIterator<Item = Field>) {
        self.inner.recorder.record(code, fields);
    }

    /// Begins a planned stop: the host stops being ready, hands the leadership
    /// over if it has it, and revokes its lease.
    pub async fn begin_stop(&self) {
        // The lease is taken first, because the task that renews it clears the
        // field when the stop begins.
        let lease = lock(&self.inner.lease).take();
        self.inner.stopping.store(true, Ordering::Relaxed);
        self.record(Code::StopBegan, []);
        if let Some(leader) = self.leading() {
            leader.hand_over("planned stop").await;
        }
        if let Some(lease) = lease
            && let Err(error) = self.store().revoke(lease).await
        {
            // The lease expires without the revocation.
            self.record(
                Code::StoreFailed,
                [Field::new("call", "revoke"), Field::new("cause", error)],
            );
        }
    }
}

impl HostTasks {
    /// Waits until a background task panics, and returns the reason. The process has to
    /// end then, as it would go on without a part of its work.
    pub async fn failed(&mut self) -> String {
        while let Some(ended) = self.set.join_next().await {
            if let Err(error) = ended {
                return error.to_string();
            }
        }
        std::future::pending().await
    }

    /// Stops all background tasks and closes the port for peers.
    pub async fn stop(mut self) {
        self.set.shutdown().await;
        self.server.kill().await;
    }
}
