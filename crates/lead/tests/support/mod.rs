//! Hosts in one process that share an in-memory store and simulated workers.

mod clock;
pub(crate) mod crashes;
mod oracle;
mod pieces;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Instant as StdInstant;

use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_call::{Failure, Permit};
use vg_events::{Code, Recorder};
use vg_flow::{
    AdviserAnswer, AttemptNumber, AttemptOutcome, FencingToken, JobOutcome, JobSpec, Machine,
    MachineAnswer, MachineCommand, OperatorConfig, Pool, Queue, Renewal, Report, SchedulingRules,
    StartAnswer, StartCommand, StartReply, StepId, StepSpec, TaskId, Wave, WaveState,
    WorkerIncarnation, WorkerRegistration,
};
use vg_jobs::Resources;
use vg_lead::{
    CommandAnswer, Host, HostCapacity, HostTasks, JobStatus, KeyLayout, OperatorItem, Options,
    ParseError, Platform, PollError,
};
use vg_standin::{SimulatedWorker, TaskAttempt};
use vg_store::{Entry, FaultControl, FaultyStore, Key, MemStore, Store, Txn, Value};

pub(crate) use clock::TestClock;
use oracle::Oracle;
use pieces::{PieceStore, Pieces};

/// Duration of a task, unless a test sets another.
pub(crate) const TASK_DURATION: Duration = Duration::from_millis(150);
/// An operator's item at which the platform's parser panics.
pub(crate) const PANICS: &[u8] = b"panics";
/// Prefix of the maintenance waves; the value of each names its machine.
pub(crate) const WAVE_PREFIX: &str = "op/wave/";
/// Prefix of the requests to drain zones.
pub(crate) const DRAIN_PREFIX: &str = "op/drain/";
/// Maximum time for which a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

type SharedStore = FaultyStore<PieceStore<MemStore>>;

/// What becomes of a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum StartFate {
    /// It is carried out and answered.
    #[default]
    Answered,
    /// It is carried out, and its host is cut off from the worker before the answer.
    Unanswered,
    /// Its host is cut off from the worker, where it arrives after this time.
    Late(Duration),
}

/// Simulated workers and the starts that they have carried out.
#[derive(Debug)]
pub(crate) struct Fleet {
    started: StdInstant,
    workers: Mutex<Vec<SimulatedWorker>>,
    /// Duration of the tasks that are started from now on.
    pub(crate) task_duration: Mutex<Duration>,
    /// Starts that a worker has carried out.
    pub(crate) starts: Mutex<Vec<(TaskId, AttemptNumber)>>,
    /// The workers that have carried them out.
    pub(crate) start_workers: Mutex<Vec<HostId>>,
    /// The platform's list of machines.
    pub(crate) machines: Mutex<Vec<Machine>>,
    /// Polls: the worker, whether its lease was renewed, and for how long it could hold
    /// back its answer.
    pub(crate) polls: Mutex<Vec<(HostId, bool, Duration)>>,
    /// Hosts and the workers that they do not reach.
    cuts: Mutex<HashSet<(SmolStr, SmolStr)>>,
    /// What becomes of the next start.
    pub(crate) next_start: Mutex<StartFate>,
    pub(crate) oracle: Mutex<Oracle>,
}

impl Fleet {
    fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn with<T>(&self, id: &HostId, act: impl FnOnce(&mut SimulatedWorker, u64) -> T) -> Option<T> {
        let ms = self.ms();
        let mut workers = self.workers.lock().unwrap();
        for worker in workers.iter_mut() {
            let ends = worker.advance(ms);
            self.oracle.lock().unwrap().note_ends(&worker.id, &ends);
        }
        let worker = workers.iter_mut().find(|worker| worker.id == id.as_str())?;
        worker.reachable.then(|| act(worker, ms))
    }

    /// Carries out a start, and checks it.
    fn start(
        &self,
        start: &StartCommand,
        act: impl FnOnce(&mut SimulatedWorker, u64) -> StartAnswer,
    ) -> Option<StartAnswer> {
        let mut is_new = false;
        let answer = self.with(&start.incarnation.id, |worker, ms| {
            let before = worker.running.len();
            let answer = act(worker, ms);
            is_new = worker.running.len() > before;
            answer
        });
        if is_new {
            let workers = self.workers.lock().unwrap();
            let id = start.incarnation.id.as_str();
            let runs = |worker: &&SimulatedWorker| {
                worker.id != id && worker.running.iter().any(|run| run.task == start.task)
            };
            let elsewhere: Vec<_> =
                workers.iter().filter(runs).map(|worker| worker.id.to_string()).collect();
            self.oracle.lock().unwrap().note_start(start.task, id, &elsewhere);
        }
        answer
    }

    /// Cuts a host off from a worker, or ends that. Others still reach the worker.
    pub(crate) fn set_cut(&self, host: &str, worker: &str, cut: bool) {
        let pair = (host.into(), worker.into());
        let mut cuts = self.cuts.lock().unwrap();
        _ = if cut { cuts.insert(pair) } else { cuts.remove(&pair) };
    }

    /// Whether a host is cut off from a worker.
    pub(crate) fn is_cut(&self, host: &str, worker: &str) -> bool {
        self.cuts.lock().unwrap().contains(&(host.into(), worker.into()))
    }

    /// Returns the tasks that a worker runs.
    pub(crate) fn running_on(&self, id: &str) -> Vec<TaskId> {
        let workers = self.workers.lock().unwrap();
        let worker = workers.iter().find(|worker| worker.id == id).unwrap();
        worker.running.iter().map(|run| run.task).collect()
    }

    /// Returns what the workers have seen that must not be.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.oracle.lock().unwrap().violations()
    }

    /// Makes a worker reachable or unreachable.
    pub(crate) fn set_reachable(&self, id: &str, reachable: bool) {
        let mut workers = self.workers.lock().unwrap();
        let worker = workers.iter_mut().find(|worker| worker.id == id).unwrap();
        worker.reachable = reachable;
    }

    /// Starts a worker again under its id. Its registration stays as it was.
    pub(crate) fn restart(&self, id: &str) {
        let ms = self.ms();
        let mut workers = self.workers.lock().unwrap();
        workers.iter_mut().find(|worker| worker.id == id).unwrap().restart(ms);
    }

    /// Returns the start of a worker's present life.
    pub(crate) fn start_of(&self, id: &str) -> u64 {
        let workers = self.workers.lock().unwrap();
        workers.iter().find(|worker| worker.id == id).unwrap().start_ms
    }

    /// Whether the lease of a worker has ended by its own clock.
    pub(crate) fn has_lease_ended(&self, id: &HostId) -> bool {
        let ms = self.ms();
        let workers = self.workers.lock().unwrap();
        let worker = workers.iter().find(|worker| worker.id == id.as_str()).unwrap();
        worker.clock(ms) > worker.deadline_ms
    }

    pub(crate) fn starts_of(&self, job: JobId) -> usize {
        self.starts.lock().unwrap().iter().filter(|(task, _)| task.step.job == job).count()
    }
}

/// The platform of one host.
#[derive(Debug, Clone)]
pub(crate) struct TestPlatform {
    /// The name of the host.
    name: SmolStr,
    pub(crate) store: SharedStore,
    layout: KeyLayout,
    pub(crate) fleet: Arc<Fleet>,
}

impl TestPlatform {
    /// Delivers a start to its worker.
    fn carry_out(&self, start: &StartCommand) -> StartReply {
        let task_attempt = TaskAttempt {
            task: start.task,
            attempt: start.attempt,
            started_ms: 0,
            finish_ms: self.fleet.task_duration.lock().unwrap().as_millis() as u64,
            outcome: AttemptOutcome::Done,
            reservation: Resources::new(1000, 1 << 30, 0),
            continuous: false,
            stop_ms: None,
        };
        let answer = self.fleet.start(start, |worker, ms| worker.start(start, task_attempt, ms));
        if answer == Some(StartAnswer::Started) {
            self.fleet.starts.lock().unwrap().push((start.task, start.attempt));
            self.fleet.start_workers.lock().unwrap().push(start.incarnation.id.clone());
        }
        let clock_ms = self.fleet.with(&start.incarnation.id, |worker, ms| worker.clock(ms));
        StartReply { answer: answer.unwrap_or(StartAnswer::Unanswered), clock_ms }
    }

    /// Whether the host is cut off from a worker.
    fn is_cut(&self, worker: &HostId) -> bool {
        self.fleet.is_cut(&self.name, worker.as_str())
    }
}

/// A store and workers that several hosts share.
#[derive(Debug, Clone)]
pub(crate) struct Cluster {
    inner: MemStore,
    pub(crate) fleet: Arc<Fleet>,
    outcome_retention: Duration,
}

pub(crate) struct Node {
    pub(crate) name: SmolStr,
    pub(crate) host: Host<TestPlatform, TestClock>,
    /// The store as this host reaches it.
    pub(crate) store: SharedStore,
    pub(crate) clock: TestClock,
    pub(crate) tasks: HostTasks,
    pub(crate) recorder: Recorder<TestClock>,
    pub(crate) faults: FaultControl,
    pub(crate) pieces: Pieces,
}

impl Node {
    /// Returns the number of recorded events of a code.
    pub(crate) fn event_count(&self, code: Code) -> usize {
        let events = self.recorder.window(0, usize::MAX).events;
        events.iter().filter(|event| event.code == code).count()
    }

    pub(crate) fn has_recorded(&self, code: Code) -> bool {
        self.event_count(code) > 0
    }
}

impl Cluster {
    /// Creates a cluster with two workers and one that is not registered, one queue
    /// and version 1 of the configuration.
    pub(crate) async fn new() -> Cluster {
        let capacity = Resources::new(16_000, 32 << 30, 0);
        let worker = |id: &str| SimulatedWorker::new(id, "p", id, 0, capacity);
        let fleet = Fleet {
            started: StdInstant::now(),
            workers: Mutex::new(vec![worker("w1"), worker("w2"), worker("w3")]),
            task_duration: Mutex::new(TASK_DURATION),
            starts: Mutex::default(),
            start_workers: Mutex::default(),
            machines: Mutex::default(),
            polls: Mutex::default(),
            cuts: Mutex::default(),
            next_start: Mutex::default(),
            oracle: Mutex::default(),
        };
        let cluster = Cluster {
            inner: MemStore::new(SystemClock),
            fleet: Arc::new(fleet),
            outcome_retention: Duration::from_secs(60),
        };
        cluster.configure(1).await;
        for id in ["w1", "w2"] {
            cluster.register_worker(id).await;
        }
        cluster
    }

    /// Creates a cluster whose hosts keep outcomes for this long.
    pub(crate) async fn with_retention(outcome_retention: Duration) -> Cluster {
        Cluster { outcome_retention, ..Cluster::new().await }
    }

    pub(crate) async fn configure(&self, version: u64) {
        let put = Txn::new().put("op/content", version.to_string());
        self.inner.commit(put).await.unwrap();
    }

    pub(crate) async fn node(&self, name: &str) -> Node {
        self.node_with(name, HostCapacity::default()).await
    }

    /// Starts a host whose watch does not show requests to drain zones.
    pub(crate) async fn node_without_drain_watch(&self, name: &str) -> Node {
        self.start_node(name, HostCapacity::default(), "op/content").await
    }

    pub(crate) async fn node_with(&self, name: &str, capacity: HostCapacity) -> Node {
        self.start_node(name, capacity, "op/").await
    }

    async fn start_node(&self, name: &str, capacity: HostCapacity, watched: &str) -> Node {
        let (faults, pieces) = (FaultControl::new(), Pieces::default());
        let inner = PieceStore::new(self.inner.clone(), pieces.clone());
        let platform = TestPlatform {
            name: name.into(),
            store: FaultyStore::new(inner, faults.clone()),
            layout: KeyLayout {
                operator_prefix: Key::from(watched),
                drain_prefix: Key::from(DRAIN_PREFIX),
                worker_prefix: Key::from("workers/"),
            },
            fleet: Arc::clone(&self.fleet),
        };
        let options = Options {
            node: name.parse().unwrap(),
            zone: "z".parse().unwrap(),
            peer_addr: ([127, 0, 0, 1], 0).into(),
            capacity,
            budget: vg_net::Budget::default(),
            max_peers: 1000,
            min_lease: Duration::from_millis(500),
            rules: SchedulingRules::default(),
            outcome_retention: self.outcome_retention,
        };
        let store = platform.store.clone();
        let clock = TestClock::default();
        let recorder = Recorder::new(clock.clone(), name, 4000);
        let started = Host::start(platform, clock.clone(), options, recorder.clone()).await;
        let (host, tasks) = started.unwrap();
        let node = Node { name: name.into(), host, store, clock, tasks, recorder, faults, pieces };
        eventually(async || node.host.config().is_some()).await;
        node
    }

    /// Requests the drain of a zone, or withdraws the request.
    pub(crate) async fn set_drained(&self, zone: &str, drained: bool) {
        let key = format!("{DRAIN_PREFIX}{zone}");
        match drained {
            true => self.put(&key, b"{}").await,
            false => _ = self.inner.commit(Txn::new().delete(key.as_str())).await.unwrap(),
        }
    }

    pub(crate) async fn put(&self, key: &str, value: &[u8]) {
        let put = Txn::new().put(key, Value::copy_from_slice(value));
        self.inner.commit(put).await.unwrap();
    }

    pub(crate) async fn remove(&self, key: &str) {
        self.inner.commit(Txn::new().delete(key)).await.unwrap();
    }

    pub(crate) async fn key(&self, key: &str) -> bool {
        self.value(key).await.is_some()
    }

    pub(crate) async fn value(&self, key: &str) -> Option<Value> {
        self.inner.get(&Key::from(key)).await.unwrap().map(|entry| entry.value)
    }

    pub(crate) async fn entries(&self, prefix: &str) -> Vec<Entry> {
        self.inner.range(&Key::from(prefix)).await.unwrap().entries
    }

    pub(crate) async fn register_worker(&self, id: &str) {
        let put = Txn::new().put(format!("workers/{id}").as_str(), Value::new());
        self.inner.commit(put).await.unwrap();
    }

    pub(crate) async fn has_leader(&self) -> bool {
        self.key("vg/live/leader").await
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn eventually(mut condition: impl AsyncFnMut() -> bool) {
    let until = StdInstant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(StdInstant::now() < until, "the condition did not hold within {WAIT_TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub(crate) fn id(number: u128) -> JobId {
    JobId::new(number)
}

pub(crate) fn is_done(answer: &JobStatus) -> bool {
    matches!(answer, JobStatus::Finished(_, JobOutcome::Done))
}

pub(crate) fn job(tasks: u32) -> JobSpec {
    let step = |after| StepSpec {
        count: tasks,
        need: Resources::new(1000, 1 << 30, 0),
        estimate: TASK_DURATION,
        after,
        ..StepSpec::default()
    };
    JobSpec {
        queue: "q".parse().unwrap(),
        team: None,
        payload: Arc::from("x"),
        steps: vec![step(vec![]), step(vec![0])],
        schedule: None,
        accepted: SystemTime::now(),
        terms: None,
    }
}

/// Returns a wave of one machine, which has to be complete soon.
fn wave(number: u64, machine: &str) -> Wave {
    let time_limit = Duration::from_secs(4);
    Wave { number, machines: vec![machine.into()], time_limit, max_down: 1 }
}

pub(crate) fn soon() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

impl Platform for TestPlatform {
    type Store = SharedStore;

    fn store(&self) -> &SharedStore {
        &self.store
    }

    fn layout(&self) -> &KeyLayout {
        &self.layout
    }

    fn parse_operator_item(&self, key: &Key, value: &[u8]) -> Result<OperatorItem, ParseError> {
        assert_ne!(value, PANICS, "an item that makes the parser panic");
        if let Some(zone) = key.0.strip_prefix(DRAIN_PREFIX) {
            let malformed = |_| ParseError { reason: "no zone".into() };
            return zone.parse().map(OperatorItem::ZoneDrain).map_err(malformed);
        }
        let text = std::str::from_utf8(value).unwrap_or_default();
        if let Some(number) = key.0.strip_prefix(WAVE_PREFIX) {
            return Ok(OperatorItem::Wave(wave(number.parse().unwrap(), text)));
        }
        let version = text.parse().map_err(|_| ParseError { reason: "no number".into() })?;
        let mut config = OperatorConfig::new(version, 1 << 18);
        let queue = Queue {
            pool: "p".parse().unwrap(),
            priority: 0,
            max_failures: 2,
            stretch: 2.0,
            slack: Duration::from_millis(500),
            public: true,
            adviser: None,
        };
        config.add_queue("q".parse().unwrap(), "h".into(), "/q/".into(), queue);
        config.pools.insert("p".parse().unwrap(), Pool { rejects_overload: true, spare: false });
        config.pools.insert("spare".parse().unwrap(), Pool { rejects_overload: true, spare: true });
        Ok(OperatorItem::Config(Box::new(config)))
    }

    fn removed_drain(&self, key: &Key) -> Option<ZoneId> {
        key.0.strip_prefix(DRAIN_PREFIX)?.parse().ok()
    }

    /// The value is the worker's zone; `z` if it is empty.
    fn parse_worker(&self, key: &Key, value: &[u8]) -> Result<WorkerRegistration, ParseError> {
        let id = key.0.strip_prefix("workers/").unwrap();
        let zone = std::str::from_utf8(value).unwrap();
        Ok(WorkerRegistration {
            incarnation: WorkerIncarnation {
                id: id.parse().unwrap(),
                start_ms: 0,
                pool: "p".parse().unwrap(),
                addr: ([127, 0, 0, 1], 1).into(),
            },
            zone: if zone.is_empty() { "z" } else { zone }.parse().unwrap(),
            draining: false,
            capacity: Resources::new(16_000, 32 << 30, 0),
            labels: vec!["r1".into()],
            machine: Some(id.into()),
            cold_left: Duration::ZERO,
        })
    }

    fn wave_status_item(&self, number: u64, state: WaveState) -> (Key, Value) {
        (Key::from(format!("status/{number}")), Value::from(state.to_string()))
    }

    async fn start(&self, start: &StartCommand) -> StartReply {
        let worker = &start.incarnation.id;
        if self.is_cut(worker) {
            return StartAnswer::Unanswered.into();
        }
        match std::mem::take(&mut *self.fleet.next_start.lock().unwrap()) {
            StartFate::Answered => self.carry_out(start),
            StartFate::Unanswered => {
                self.carry_out(start);
                self.fleet.set_cut(&self.name, worker.as_str(), true);
                StartAnswer::Unanswered.into()
            }
            StartFate::Late(delay) => {
                self.fleet.set_cut(&self.name, worker.as_str(), true);
                let (platform, start) = (self.clone(), start.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    platform.carry_out(&start);
                });
                StartAnswer::Unanswered.into()
            }
        }
    }

    async fn stop(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
        token: FencingToken,
    ) -> CommandAnswer {
        if self.is_cut(&incarnation.id) {
            return CommandAnswer::Unanswered;
        }
        match self
            .fleet
            .with(&incarnation.id, |worker, ms| worker.stop(task, attempt, token, 50, ms))
        {
            Some(true) => CommandAnswer::Accepted,
            Some(false) => CommandAnswer::StaleToken,
            None => CommandAnswer::Unanswered,
        }
    }

    async fn throttle(
        &self,
        _: &WorkerIncarnation,
        _: TaskId,
        _: AttemptNumber,
        _: u8,
        _: FencingToken,
    ) -> CommandAnswer {
        CommandAnswer::Accepted
    }

    async fn poll(&self, renewal: &Renewal, wait: Duration) -> Result<Report, PollError> {
        let poll = (renewal.incarnation.id.clone(), renewal.deadline_ms.is_some(), wait);
        self.fleet.polls.lock().unwrap().push(poll);
        tokio::time::sleep(wait.min(Duration::from_millis(50))).await;
        if self.is_cut(&renewal.incarnation.id) {
            return Err(PollError::Unanswered);
        }
        let oracle = &self.fleet.oracle;
        let poll = |worker: &mut SimulatedWorker, ms| {
            if renewal.token >= worker.token {
                oracle.lock().unwrap().note_acknowledged(worker, renewal.acknowledged);
            }
            worker.poll(renewal.token, renewal.deadline_ms, renewal.acknowledged, ms)
        };
        match self.fleet.with(&renewal.incarnation.id, poll) {
            Some(Some(report)) => Ok(report),
            Some(None) => Err(PollError::StaleToken),
            None => Err(PollError::Unanswered),
        }
    }

    async fn machines(&self) -> Option<Vec<Machine>> {
        Some(self.fleet.machines.lock().unwrap().clone())
    }

    /// A machine in maintenance does not answer any more, and what ran there has ended.
    async fn command_machine(
        &self,
        command: &MachineCommand,
        _: &NodeId,
        _: FencingToken,
    ) -> MachineAnswer {
        if let MachineCommand::Maintain { machine, .. } = command {
            self.fleet.restart(machine);
            self.fleet.set_reachable(machine, false);
        }
        MachineAnswer::Done
    }

    async fn advise(&self, _: Permit, _: StepId, _: &[HostId]) -> Result<AdviserAnswer, Failure> {
        Err(Failure::Refused)
    }
}
