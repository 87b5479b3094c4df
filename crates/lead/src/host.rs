//! One host: what it knows, and its tasks.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::Rng;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder};
use vg_flow::{JobOutcome, OperatorConfig, Wave};
use vg_net::{Client, Limits, Server, ServerHandle};
use vg_store::{LeaseId, Store};

use crate::error::StartError;
use crate::leader::Leader;
use crate::mark::Mark;
use crate::members::Members;
use crate::messages::Known;
use crate::unsettled::Unsettled;
use crate::{Metrics, Options, Platform, follow, serve, session};

/// Time for a connection to a peer to be made.
const PEER_CONNECT: Duration = Duration::from_millis(300);
/// How long an unused connection to a peer is kept.
const PEER_IDLE: Duration = Duration::from_secs(30);
/// Ends of jobs that a host remembers.
const ENDS_MAX: usize = 20_000;
/// Age of the last answer of the store from which it counts as lost.
const STORE_FRESH: Duration = Duration::from_millis(2000);

/// A running host; clones are the same one.
#[derive(Debug)]
pub struct Host<P: Platform, C: Clock> {
    pub(crate) inner: Arc<Inner<P, C>>,
}

impl<P: Platform, C: Clock> Clone for Host<P, C> {
    fn clone(&self) -> Host<P, C> {
        Host { inner: Arc::clone(&self.inner) }
    }
}

/// What a host knows.
#[derive(Debug)]
pub(crate) struct Inner<P: Platform, C: Clock> {
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) options: Options,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder<C>,
    pub(crate) peers: Client,
    /// Tells this start of the process from others.
    pub(crate) nonce: u64,
    pub(crate) content: watch::Sender<Option<Arc<OperatorConfig>>>,
    /// The configuration as it lies in the store, for peers that can't read it.
    pub(crate) raw: Mutex<Option<(SmolStr, bytes::Bytes)>>,
    pub(crate) waves: watch::Sender<BTreeMap<u64, Wave>>,
    pub(crate) members: Mutex<Members>,
    pub(crate) members_changed: Notify,
    pub(crate) lease: Mutex<Option<LeaseId>>,
    /// When the last renewal that the store granted was sent.
    pub(crate) verified: Mutex<Option<Mark>>,
    pub(crate) store_heard: Mutex<Option<Mark>>,
    pub(crate) leader: Mutex<Option<Arc<Leader<P, C>>>>,
    pub(crate) ends: Mutex<Ends>,
    pub(crate) unsettled: Mutex<Unsettled>,
    pub(crate) stopping: AtomicBool,
}

/// Ends of jobs, the latest ones.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    known: std::collections::HashMap<JobId, (Option<TeamId>, JobOutcome)>,
    order: std::collections::VecDeque<JobId>,
}

impl Ends {
    pub(crate) fn get(&self, job: JobId) -> Option<Known> {
        self.known.get(&job).map(|(team, how)| Known::Ended(team.clone(), *how))
    }

    pub(crate) fn set(&mut self, job: JobId, team: Option<TeamId>, how: JobOutcome) {
        if self.known.insert(job, (team, how)).is_none() {
            self.order.push_back(job);
        }
        if self.order.len() > ENDS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

/// Locks a table. A panic elsewhere leaves it readable: each change is whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The tasks of a host; dropping it ends them.
#[derive(Debug)]
pub struct HostTasks {
    set: JoinSet<()>,
    server: ServerHandle,
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Starts a host: it listens for its peers and begins to follow the store.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] if the address for peers is taken.
    pub async fn start(
        platform: P,
        clock: C,
        options: Options,
        recorder: Recorder<C>,
    ) -> Result<(Host<P, C>, HostTasks), StartError> {
        let server = Server::bind(options.peer_addr, Limits::default())
            .await
            .map_err(|source| StartError::Listen { source })?;
        let options = Options { peer_addr: server.addr(), ..options };
        let metrics = Metrics::new().map_err(|source| StartError::Metrics { source })?;
        let inner = Inner {
            platform,
            clock,
            options,
            metrics,
            recorder,
            peers: Client::new(PEER_CONNECT, PEER_IDLE),
            nonce: rand::rng().random(),
            content: watch::Sender::new(None),
            raw: Mutex::default(),
            waves: watch::Sender::new(BTreeMap::new()),
            members: Mutex::default(),
            members_changed: Notify::new(),
            lease: Mutex::default(),
            verified: Mutex::default(),
            store_heard: Mutex::default(),
            leader: Mutex::default(),
            ends: Mutex::default(),
            unsettled: Mutex::default(),
            stopping: AtomicBool::new(false),
        };
        let host = Host { inner: Arc::new(inner) };
        let server = server.serve(serve::PeerService(host.clone()));
        let mut set = JoinSet::new();
        set.spawn(follow::operators(host.clone()));
        set.spawn(follow::members(host.clone()));
        set.spawn(follow::content_of_peers(host.clone()));
        set.spawn(session::keep(host.clone()));
        set.spawn(session::elect(host.clone()));
        host.record(
            Code::ProcessStarted,
            [
                Field::new("node", &host.inner.options.node),
                Field::new("control", host.inner.options.peer_addr),
            ],
        );
        Ok((host, HostTasks { set, server }))
    }

    /// Returns the operators' content in force here.
    pub fn content(&self) -> Option<Arc<OperatorConfig>> {
        self.inner.content.borrow().clone()
    }

    /// Whether this host leads.
    pub fn is_leading(&self) -> bool {
        self.leading().is_some()
    }

    /// Returns the counters of this host.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.content().is_some() && (self.hears_store() || self.has_peers())
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }

    /// Whether the store answered lately.
    pub(crate) fn hears_store(&self) -> bool {
        self.store_silence() < STORE_FRESH
    }

    /// Returns the time since the store last answered.
    pub(crate) fn store_silence(&self) -> Duration {
        let heard = *lock(&self.inner.store_heard);
        heard.map_or(Duration::MAX, |mark| mark.age(&self.inner.clock))
    }

    /// Whether a peer answered lately.
    fn has_peers(&self) -> bool {
        lock(&self.inner.members).heard(&self.inner.clock, STORE_FRESH)
    }

    pub(crate) fn note_store(&self) {
        *lock(&self.inner.store_heard) = Some(Mark::now(&self.inner.clock));
    }

    pub(crate) fn leading(&self) -> Option<Arc<Leader<P, C>>> {
        lock(&self.inner.leader).clone()
    }

    pub(crate) fn store(&self) -> &P::Store {
        self.inner.platform.store()
    }

    /// Writes a numbered event to the log and the time line.
    pub fn record(&self, code: Code, fields: impl IntoIterator<Item = Field>) {
        self.inner.recorder.record(code, fields);
    }

    /// Begins a planned stop: the host is no longer ready and leads no more.
    pub async fn begin_stop(&self) {
        // Taken first: the lease is forgotten when its renewals end.
        let lease = lock(&self.inner.lease).take();
        self.inner.stopping.store(true, Ordering::Relaxed);
        self.record(Code::StopBegan, []);
        if let Some(leader) = self.leading() {
            leader.hand_over().await;
        }
        if let Some(lease) = lease
            && let Err(error) = self.store().revoke(lease).await
        {
            // The lease lapses by itself.
            self.record(
                Code::StoreFailed,
                [Field::new("call", "revoke"), Field::new("cause", error)],
            );
        }
    }
}

impl HostTasks {
    /// Ends all tasks and closes the port for peers.
    pub async fn stop(mut self) {
        self.set.shutdown().await;
        self.server.kill().await;
    }
}
