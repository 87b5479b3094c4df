//! Hosts that are killed between two writes, on a store whose answers are drawn from a seed,
//! and a judge of what their workers and callers see.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::runtime::{Handle, Runtime};
use vg_flow::{EndedAttempt, Progress};
use vg_lead::{CancelOutcome, SubmitOutcome};
use vg_store::{Change, Error, LeaseId, Listing, StoreRevision, TxnOutcome};

use super::*;

/// Time for which a worker holds back its answer to a poll.
const POLL_WAIT_MAX: Duration = Duration::from_millis(50);
/// Time that a stopped attempt takes to end.
const STOP_MS: u64 = 50;
/// Time after a task was noted as done from which no speculative attempt may start.
const SPECULATIVE_TOLERANCE_MS: u64 = 1000;
/// Part of the attempts that fail, in percent, unless a test sets another.
const FAILED_PERCENT: u64 = 8;
/// Failed attempts of a task after which its job may be given up.
const FAILURES_MAX: usize = 2;

/// A fault of one write.
#[derive(Debug, Clone, Copy)]
enum WriteFault {
    None,
    Throttled,
    RequestLost,
    AnswerLost,
    /// Carried out after this time, if its conditions still hold; there is no answer.
    Late(Duration),
    /// Carried out and answered after this time.
    Slow(Duration),
}

/// Where in a write its host is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KillPoint {
    /// The write is not sent.
    Before,
    /// The write is carried out, and its answer is not read.
    After,
}

/// What connects one process of a host to its store and to workers.
#[derive(Debug)]
pub(crate) struct Link {
    alive: AtomicBool,
    turned_away: AtomicBool,
    /// Size in bytes of the values in a transaction from which the store refuses it.
    refused_bytes: AtomicUsize,
    draws: Mutex<Draws>,
    /// Carries out late writes also after the host is gone.
    late: Handle,
}

#[derive(Debug)]
struct Draws {
    rng: SmallRng,
    faulty: bool,
    /// Number of writes until the host is killed.
    kill: Option<(u32, KillPoint)>,
}

impl Link {
    pub(crate) fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Turns the host away from the store, which serves the others.
    pub(crate) fn turn_away(&self, turned_away: bool) {
        self.turned_away.store(turned_away, Ordering::SeqCst);
    }

    /// Kills the host in one of its next writes.
    pub(crate) fn kill_in_write(&self, writes: u32, point: KillPoint) {
        self.draws.lock().unwrap().kill = Some((writes, point));
    }

    /// Lets the store refuse transactions that are larger.
    pub(crate) fn refuse_larger(&self, bytes: usize) {
        self.refused_bytes.store(bytes, Ordering::SeqCst);
    }

    pub(crate) fn end_faults(&self) {
        let mut draws = self.draws.lock().unwrap();
        (draws.faulty, draws.kill) = (false, None);
        drop(draws);
        self.turn_away(false);
    }

    /// Waits for good if the host is dead.
    async fn live(&self) {
        if !self.is_alive() {
            std::future::pending().await
        }
    }

    async fn die(&self) {
        self.alive.store(false, Ordering::SeqCst);
        std::future::pending().await
    }

    /// Fails while the store turns the host away.
    async fn reach(&self) -> Result<(), Error> {
        self.live().await;
        match self.turned_away.load(Ordering::SeqCst) {
            true => Err(Error::Unavailable { reason: "turned away".into() }),
            false => Ok(()),
        }
    }

    fn draw(&self) -> (WriteFault, Option<KillPoint>) {
        let mut draws = self.draws.lock().unwrap();
        let point = draws.kill.filter(|(writes, _)| *writes == 0).map(|(_, point)| point);
        draws.kill = draws.kill.map(|(writes, point)| (writes.saturating_sub(1), point));
        if !draws.faulty {
            return (WriteFault::None, point);
        }
        let ms = |draws: &mut Draws, max| Duration::from_millis(draws.rng.random_range(5..max));
        let fault = match draws.rng.random_range(0..100) {
            0..6 => WriteFault::Throttled,
            6..9 => WriteFault::RequestLost,
            9..15 => WriteFault::AnswerLost,
            15..20 => WriteFault::Late(ms(&mut draws, 3000)),
            20..30 => WriteFault::Slow(ms(&mut draws, 250)),
            _ => WriteFault::None,
        };
        (fault, point)
    }
}

/// The store as one host reaches it.
#[derive(Debug, Clone)]
pub(crate) struct CrashStore {
    inner: MemStore,
    link: Arc<Link>,
}

/// Returns the size of the values that a transaction writes, in bytes.
fn size(txn: &Txn) -> usize {
    let puts = txn.changes.iter().map(|change| match change {
        Change::Put(put) => put.value.len(),
        Change::Delete(_) => 0,
    });
    puts.sum()
}

fn lost() -> Error {
    Error::AnswerLost { reason: "drawn".into() }
}

impl Store for CrashStore {
    type Watch = <MemStore as Store>::Watch;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        self.link.reach().await?;
        let answer = self.inner.get(key).await;
        self.link.live().await;
        answer
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        self.link.reach().await?;
        let answer = self.inner.range(prefix).await;
        self.link.live().await;
        answer
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        self.link.reach().await?;
        if size(&txn) > self.link.refused_bytes.load(Ordering::SeqCst) {
            return Err(Error::Refused { reason: "too large".into() });
        }
        let (fault, point) = self.link.draw();
        if point == Some(KillPoint::Before) {
            self.link.die().await;
        }
        let answer = match fault {
            WriteFault::None => self.inner.commit(txn).await,
            WriteFault::Throttled => Err(Error::Unavailable { reason: "429".into() }),
            WriteFault::RequestLost => Err(lost()),
            WriteFault::AnswerLost => self.inner.commit(txn).await.and(Err(lost())),
            WriteFault::Late(delay) => {
                let inner = self.inner.clone();
                self.link.late.spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = inner.commit(txn).await;
                });
                Err(lost())
            }
            WriteFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                self.inner.commit(txn).await
            }
        };
        if point == Some(KillPoint::After) {
            self.link.die().await;
        }
        self.link.live().await;
        answer
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.link.reach().await?;
        self.inner.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        self.link.reach().await?;
        self.inner.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.link.reach().await?;
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &Key, from: StoreRevision) -> Result<Self::Watch, Error> {
        self.link.reach().await?;
        self.inner.watch(prefix, from).await
    }
}

/// An outcome as it is stored.
#[derive(Debug, Deserialize)]
struct StoredOutcome {
    how: JobOutcome,
}

/// What workers and callers have seen, and what of it breaks a promise.
#[derive(Debug, Default)]
struct Facts {
    breaches: Vec<String>,
    specs: HashMap<JobId, JobSpec>,
    /// When each task was first done.
    done: HashMap<TaskId, u64>,
    /// When each end `done` was acknowledged.
    noted: HashMap<TaskId, u64>,
    /// Ends `done`, by worker and number, after which their task was started, and how.
    started_again: HashMap<(SmolStr, u64), String>,
    failed: HashMap<TaskId, HashSet<AttemptNumber>>,
    /// How jobs were shown to have ended.
    shown: BTreeMap<JobId, JobOutcome>,
    accepted: HashSet<JobId>,
    /// The processes to which each job was sent.
    sent: HashMap<JobId, Vec<Arc<Link>>>,
    cancelled: HashSet<JobId>,
    /// Jobs that were said not to run.
    refused: HashSet<JobId>,
    acknowledged: usize,
}

impl Facts {
    fn breach(&mut self, text: String) {
        self.breaches.push(text);
    }

    /// Whether a task is done: in a gang, if any of its members is.
    fn is_done(&self, task: TaskId) -> bool {
        let Some(step) = self.step(task) else { return false };
        match step.gang {
            true => (0..step.count).any(|index| self.done.contains_key(&TaskId { index, ..task })),
            false => self.done.contains_key(&task),
        }
    }

    fn step(&self, task: TaskId) -> Option<&StepSpec> {
        self.specs.get(&task.step.job)?.steps.get(usize::from(task.step.step))
    }
}

/// A cluster whose hosts are killed, with the judge.
#[derive(Debug, Clone)]
pub(crate) struct Crashes {
    pub(crate) cluster: Cluster,
    seed: u64,
    /// Part of the attempts that fail, in percent.
    pub(crate) failed_percent: u64,
    /// Size of the checkpoints that attempts leave, in bytes.
    pub(crate) checkpoint_bytes: usize,
    facts: Arc<Mutex<Facts>>,
}

/// The platform of a host that may be killed.
#[derive(Debug, Clone)]
pub(crate) struct CrashPlatform {
    inner: TestPlatform,
    store: CrashStore,
    judge: Crashes,
}

/// A host in a runtime of its own, so that nothing of it goes on after it is killed.
pub(crate) struct CrashNode {
    runtime: Option<Runtime>,
    host: Host<CrashPlatform, TestClock>,
    pub(crate) link: Arc<Link>,
    _tasks: HostTasks,
}

impl CrashNode {
    pub(crate) fn is_leading(&self) -> bool {
        self.link.is_alive() && self.host.is_leading()
    }

    /// Lets the host carry out a call. `None` if the host is killed meanwhile.
    async fn call<T: Send + 'static, F: Future<Output = T> + Send + 'static>(
        &self,
        call: impl FnOnce(Host<CrashPlatform, TestClock>) -> F,
    ) -> Option<T> {
        let running = self.runtime.as_ref()?.spawn(call(self.host.clone()));
        tokio::pin!(running);
        loop {
            tokio::select! {
                answer = &mut running => return answer.ok().filter(|_| self.link.is_alive()),
                () = tokio::time::sleep(Duration::from_millis(5)) => {
                    if !self.link.is_alive() {
                        return None;
                    }
                }
            }
        }
    }

    /// Stops the host as planned: it hands the leadership over.
    pub(crate) async fn stop(&mut self) {
        self.call(|host| async move { host.begin_stop().await }).await;
        self.kill();
    }

    /// Ends the process without any notice.
    pub(crate) fn kill(&mut self) {
        self.link.alive.store(false, Ordering::SeqCst);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for CrashNode {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Crashes {
    pub(crate) async fn new(seed: u64) -> Crashes {
        Crashes {
            cluster: Cluster::new().await,
            seed,
            failed_percent: FAILED_PERCENT,
            checkpoint_bytes: 8,
            facts: Arc::default(),
        }
    }

    fn facts(&self) -> std::sync::MutexGuard<'_, Facts> {
        self.facts.lock().unwrap()
    }

    /// Returns what broke a promise.
    pub(crate) fn breaches(&self) -> Vec<String> {
        self.facts().breaches.clone()
    }

    /// Returns the number of acknowledged ends that were compared with the store.
    pub(crate) fn acknowledged(&self) -> usize {
        self.facts().acknowledged
    }

    /// Starts a host, whose draws are those of `process` and whose wall clock is ahead.
    pub(crate) async fn start(&self, name: &str, process: u64, ahead: Duration) -> CrashNode {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let rng = SmallRng::seed_from_u64(self.seed << 16 | process);
        let link = Arc::new(Link {
            alive: AtomicBool::new(true),
            turned_away: AtomicBool::new(false),
            refused_bytes: AtomicUsize::new(usize::MAX),
            draws: Mutex::new(Draws { rng, faulty: true, kill: None }),
            late: Handle::current(),
        });
        let layout = KeyLayout {
            operator_prefix: Key::from("op/"),
            drain_prefix: Key::from(DRAIN_PREFIX),
            worker_prefix: Key::from("workers/"),
        };
        let pieces = PieceStore::new(self.cluster.inner.clone(), Pieces::default());
        let inner = TestPlatform {
            name: name.into(),
            store: FaultyStore::new(pieces, FaultControl::new()),
            layout,
            fleet: Arc::clone(&self.cluster.fleet),
        };
        let store = CrashStore { inner: self.cluster.inner.clone(), link: Arc::clone(&link) };
        let platform = CrashPlatform { inner, store, judge: self.clone() };
        let options = Options {
            node: name.parse().unwrap(),
            zone: "z".parse().unwrap(),
            peer_addr: ([127, 0, 0, 1], 0).into(),
            capacity: HostCapacity::default(),
            budget: vg_net::Budget::default(),
            max_peers: 1000,
            min_lease: Duration::from_millis(500),
            rules: SchedulingRules::default(),
            outcome_retention: self.cluster.outcome_retention,
        };
        let clock = TestClock::default();
        clock.set_forward(ahead);
        let recorder = Recorder::new(clock.clone(), name, 4000);
        let started = runtime.spawn(Host::start(platform, clock, options, recorder)).await;
        let (host, tasks) = started.unwrap().unwrap();
        CrashNode { runtime: Some(runtime), host, link, _tasks: tasks }
    }

    /// Reads a key as the store holds it now.
    fn stored(&self, key: &str) -> Option<Value> {
        let entry = self.cluster.inner.get(&Key::from(key)).now_or_never();
        entry.unwrap().unwrap().map(|entry| entry.value)
    }

    fn stored_outcome(&self, job: JobId) -> Option<JobOutcome> {
        let value = self.stored(&format!("vg/end/{:x}", job.value()))?;
        Some(vg_net::from_msgpack::<StoredOutcome>(&value).unwrap().how)
    }

    fn is_cancel_stored(&self, job: JobId) -> bool {
        self.stored(&format!("vg/in/{:x}/cancel", job.value())).is_some()
            || self.stored_outcome(job) == Some(JobOutcome::Cancelled)
    }

    /// Whether the store holds an accepted job, or how it has ended.
    fn is_job_stored(&self, job: JobId) -> bool {
        self.stored(&format!("vg/in/{:x}", job.value())).is_some()
            || self.stored_outcome(job).is_some()
    }

    /// Hands a job in, or hands it in again. Returns whether it was accepted. The caller
    /// leaves after `patience`.
    pub(crate) async fn submit(
        &self,
        node: &CrashNode,
        job: JobId,
        spec: JobSpec,
        patience: Duration,
    ) -> bool {
        {
            let mut facts = self.facts();
            facts.specs.insert(job, spec.clone());
            facts.sent.entry(job).or_default().push(Arc::clone(&node.link));
        }
        let submission = async move |host: Host<CrashPlatform, TestClock>| {
            let answer = tokio::time::timeout(patience, host.submit(job, spec, soon()));
            answer.await.ok()
        };
        match node.call(submission).await.flatten() {
            Some(SubmitOutcome::Accepted) => {
                let stored = self.is_job_stored(job);
                let mut facts = self.facts();
                facts.accepted.insert(job);
                if !stored {
                    facts.breach(format!("job {job} was accepted and is not in the store"));
                }
                if facts.refused.contains(&job) {
                    facts.breach(format!("job {job} was said not to run and is accepted"));
                }
                true
            }
            Some(SubmitOutcome::Refused(_)) => {
                let mut facts = self.facts();
                if facts.accepted.contains(&job) {
                    facts.breach(format!("accepted job {job} is said not to run"));
                }
                // Nobody knows what a killed host has sent.
                if facts.sent[&job].iter().all(|link| link.is_alive()) {
                    facts.refused.insert(job);
                }
                false
            }
            Some(SubmitOutcome::Unknown) | None => false,
        }
    }

    /// Returns what was handed in as a job, unless it was said not to run.
    pub(crate) fn spec(&self, job: JobId) -> Option<JobSpec> {
        let facts = self.facts();
        facts.specs.get(&job).filter(|_| !facts.refused.contains(&job)).cloned()
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, node: &CrashNode, job: JobId) {
        let answer = node.call(|host| async move { host.cancel(job, soon()).await }).await;
        let stored = self.is_cancel_stored(job);
        let mut facts = self.facts();
        match answer {
            Some(CancelOutcome::Cancelled) => {
                facts.cancelled.insert(job);
                if !stored {
                    facts.breach(format!("job {job} was cancelled and the store doesn't say so"));
                }
            }
            Some(CancelOutcome::Absent) => {
                let has_ended = self.stored_outcome(job).is_some();
                if facts.accepted.contains(&job) && !has_ended {
                    facts.breach(format!("accepted job {job} was absent when cancelled"));
                } else if !facts.accepted.contains(&job) {
                    facts.refused.insert(job);
                }
            }
            // It may be cancelled, now or later.
            Some(CancelOutcome::Unknown) | None => _ = facts.cancelled.insert(job),
        }
    }

    /// Asks for the state of a job. Returns whether it is shown as ended.
    pub(crate) async fn ask(&self, node: &CrashNode, job: JobId) -> bool {
        let answer = node.call(|host| async move { host.job_status(job, soon()).await }).await;
        let stored = self.stored_outcome(job);
        let cancelled = self.is_cancel_stored(job);
        let mut facts = self.facts();
        match answer {
            Some(JobStatus::Finished(_, outcome)) => {
                let is_stored = match outcome {
                    JobOutcome::Cancelled => cancelled,
                    other => stored == Some(other),
                };
                if !is_stored {
                    facts.breach(format!("job {job} is shown as {outcome}, stored is {stored:?}"));
                }
                let before = facts.shown.insert(job, outcome);
                if before.is_some_and(|before| before != outcome) {
                    facts.breach(format!("job {job} was shown as {before:?}, now {outcome}"));
                }
                if outcome == JobOutcome::Done {
                    Self::check_complete(&mut facts, job);
                }
                let mut failed = facts.failed.iter().filter(|(task, _)| task.step.job == job);
                if outcome == JobOutcome::Failed
                    && !failed.any(|(_, failed)| failed.len() >= FAILURES_MAX)
                {
                    facts.breach(format!("job {job} is shown as failed without cause"));
                }
                true
            }
            Some(JobStatus::Queued(_) | JobStatus::Running(_)) => {
                if let Some(before) = facts.shown.get(&job).copied() {
                    facts.breach(format!("job {job} was shown as {before}, now as not ended"));
                }
                false
            }
            Some(JobStatus::Absent) => {
                if facts.accepted.contains(&job) {
                    facts.breach(format!("accepted job {job} is shown as absent"));
                }
                false
            }
            Some(JobStatus::Unknown) | None => false,
        }
    }

    /// Checks that all tasks of a job that is shown as complete are done.
    fn check_complete(facts: &mut Facts, job: JobId) {
        let spec = facts.specs[&job].clone();
        for (occurrence, (at, step)) in (0..occurrences(&spec))
            .flat_map(|number| spec.steps.iter().enumerate().map(move |step| (number, step)))
        {
            let step_id = StepId { job, occurrence, step: at as u16 };
            let open =
                (0..step.count).find(|&index| !facts.is_done(TaskId { step: step_id, index }));
            if let Some(index) = open {
                facts.breach(format!("job {job} is complete, task {step_id}.{index} is not done"));
            }
        }
    }

    /// Returns the accepted jobs.
    pub(crate) fn accepted(&self) -> Vec<JobId> {
        let mut accepted: Vec<_> = self.facts().accepted.iter().copied().collect();
        accepted.sort_unstable();
        accepted
    }

    /// Checks what must hold once all is quiet.
    pub(crate) fn check_quiet(&self) {
        let ms = self.cluster.fleet.ms();
        let mut workers = self.cluster.fleet.workers.lock().unwrap();
        let running: Vec<_> = workers
            .iter_mut()
            .flat_map(|worker| {
                worker.advance(ms);
                worker.running.clone()
            })
            .collect();
        drop(workers);
        let shown = self.facts().shown.clone();
        for attempt in running {
            let job = attempt.task.step.job;
            if shown.contains_key(&job) {
                self.facts().breach(format!("task {} runs, its job has ended", attempt.task));
            }
        }
        for (job, outcome) in shown {
            let stored = self.stored_outcome(job);
            if stored != Some(outcome) {
                let text = format!("job {job} was shown as {outcome}, stored is {stored:?}");
                self.facts().breach(text);
            }
        }
    }

    /// Notes the ends at all workers.
    fn advance(&self, workers: &mut [SimulatedWorker], ms: u64) {
        let mut facts = self.facts();
        for worker in workers {
            worker.advance(ms);
            for end in &worker.ended {
                match end.outcome {
                    AttemptOutcome::Done => _ = facts.done.entry(end.task).or_insert(ms),
                    AttemptOutcome::Failed => {
                        facts.failed.entry(end.task).or_default().insert(end.attempt);
                    }
                    _ => {}
                }
            }
        }
    }

    /// How an attempt ends and how long it takes.
    fn plan(&self, task: TaskId, attempt: AttemptNumber) -> (AttemptOutcome, u64) {
        let mut hasher = std::hash::DefaultHasher::new();
        (self.seed, task, attempt).hash(&mut hasher);
        let drawn = hasher.finish();
        let outcome = match drawn % 100 < self.failed_percent {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Done,
        };
        (outcome, 40 + drawn / 100 % 400)
    }

    /// Lets a worker carry out a start, and judges it.
    fn carry_out(&self, start: &StartCommand) -> StartAnswer {
        let fleet = &self.cluster.fleet;
        let ms = fleet.ms();
        let mut workers = fleet.workers.lock().unwrap();
        self.advance(&mut workers, ms);
        let id = start.incarnation.id.as_str();
        let runs = |worker: &SimulatedWorker| worker.running.iter().any(|a| a.task == start.task);
        let elsewhere = workers.iter().any(|worker| worker.id != id && runs(worker));
        let held = holders(&workers, start.task, ms);
        let worker = workers.iter_mut().find(|worker| worker.id == id).unwrap();
        if !worker.reachable {
            return StartAnswer::Unanswered;
        }
        let had = worker.running.len();
        let (outcome, duration) = self.plan(start.task, start.attempt);
        let attempt = TaskAttempt {
            task: start.task,
            attempt: start.attempt,
            started_ms: 0,
            finish_ms: duration,
            outcome,
            reservation: Resources::new(1000, 1 << 30, 0),
            continuous: false,
            stop_ms: None,
        };
        let answer = worker.start(start, attempt, ms);
        if answer == StartAnswer::Started && worker.running.len() > had {
            self.judge_start(start, elsewhere, &held, ms);
        }
        answer
    }

    fn judge_start(
        &self,
        start: &StartCommand,
        elsewhere: bool,
        held: &[(SmolStr, u64, String)],
        ms: u64,
    ) {
        let task = start.task;
        let stored = self.stored_outcome(task.step.job);
        let mut facts = self.facts();
        let name = format!("task {task}, attempt {:?}, at {ms} ms", start.attempt);
        let Some(step) = facts.step(task).cloned() else {
            return facts.breach(format!("{name}: nobody asked for it"));
        };
        if let Some(stored) = stored {
            facts.breach(format!("{name}: started although its job is stored as {stored}"));
        }
        if facts.refused.contains(&task.step.job) {
            facts.breach(format!("{name}: its job was said not to run"));
        }
        let shown = facts.shown.get(&task.step.job);
        if shown.is_some_and(|&shown| shown != JobOutcome::Cancelled) {
            facts.breach(format!("{name}: its job was shown as ended"));
        }
        let noted = facts.noted.get(&task).copied();
        let tolerance = if step.speculative { SPECULATIVE_TOLERANCE_MS } else { 0 };
        if noted.is_some_and(|noted| noted + tolerance < ms) {
            facts.breach(format!("{name}: its end was noted before"));
        }
        if !step.speculative && elsewhere {
            facts.breach(format!("{name}: runs elsewhere"));
        }
        if !step.speculative && facts.is_done(task) {
            for (worker, number, lease) in held {
                let text = format!(
                    "{name} on {} by token {}: ended on {worker}, {lease}",
                    start.incarnation.id, start.token
                );
                facts.started_again.insert((worker.clone(), *number), text);
            }
        }
        for &before in &step.after {
            let before = StepId { step: before, ..task.step };
            let count = facts.step(TaskId { step: before, index: 0 }).map_or(0, |step| step.count);
            if (0..count).any(|index| !facts.is_done(TaskId { step: before, index })) {
                facts.breach(format!("{name}: step {before} is not done"));
            }
        }
    }

    /// Lets a worker answer a poll, and judges what the poll acknowledges.
    fn answer_poll(&self, renewal: &Renewal) -> Result<Report, PollError> {
        let fleet = &self.cluster.fleet;
        let ms = fleet.ms();
        let mut workers = fleet.workers.lock().unwrap();
        self.advance(&mut workers, ms);
        let id = renewal.incarnation.id.as_str();
        let worker = workers.iter_mut().find(|worker| worker.id == id).unwrap();
        if !worker.reachable {
            return Err(PollError::Unanswered);
        }
        if renewal.token >= worker.token {
            let ends = worker.ended.iter().filter(|end| end.number <= renewal.acknowledged);
            let id = &worker.id;
            ends.for_each(|end| self.judge_end(id, end, end.number <= worker.expiry_number, ms));
        }
        let report = worker.poll(renewal.token, renewal.deadline_ms, renewal.acknowledged, ms);
        let Some(mut report) = report else { return Err(PollError::StaleToken) };
        let ended = report.ended.iter_mut();
        ended.for_each(|end| end.checkpoint = self.checkpoint(end));
        Ok(Report { start_ms: None, ..report })
    }

    /// Judges an end that its worker forgets now. `lapsed` tells whether the worker's lease
    /// has ended since.
    fn judge_end(&self, worker: &SmolStr, end: &EndedAttempt, lapsed: bool, ms: u64) {
        let is_durable = self.is_end_durable(end);
        let mut facts = self.facts();
        facts.acknowledged += 1;
        if !is_durable {
            let (task, outcome) = (end.task, end.outcome);
            facts.breach(format!("end {outcome} of {task} at {ms} ms is not durable"));
        }
        if end.outcome == AttemptOutcome::Done && !lapsed {
            facts.noted.entry(end.task).or_insert(ms);
            if let Some(start) = facts.started_again.get(&(worker.clone(), end.number)).cloned() {
                facts.breach(format!("{start}; that end is noted at {ms} ms"));
            }
        }
    }

    /// Returns the checkpoint that an attempt leaves.
    fn checkpoint(&self, end: &EndedAttempt) -> SmolStr {
        match end.outcome {
            AttemptOutcome::Done => SmolStr::default(),
            _ => format!("{:0width$}", end.attempt.0, width = self.checkpoint_bytes).into(),
        }
    }

    /// Whether the store holds what an end changes.
    fn is_end_durable(&self, end: &EndedAttempt) -> bool {
        let (job, step) = (end.task.step.job, end.task.step.step);
        if self.stored_outcome(job).is_some() || self.is_cancel_stored(job) {
            return true;
        }
        let Some(value) = self.stored(&format!("vg/run/{:x}", job.value())) else { return false };
        let progress: Progress = vg_net::from_msgpack(&value).unwrap();
        let number = end.task.step.occurrence;
        let open = progress.occurrences.iter().find(|each| each.occurrence == number);
        let Some(open) = open else {
            // An occurrence that is not listed is done if a later one would be opened next.
            return progress.next.is_some_and(|next| number < next);
        };
        let done = open.done.contains(&(step, end.task.index));
        let kept = open.checkpoints.iter().any(|(s, i, _)| (*s, *i) == (step, end.task.index));
        done || match end.outcome {
            AttemptOutcome::Done => false,
            AttemptOutcome::Failed => {
                kept && open.failed.contains(&(step, end.task.index, end.attempt.0))
            }
            _ => kept,
        }
    }
}

/// Returns the workers that report that a task is done, the numbers of the ends, and the
/// state of the workers' leases.
fn holders(workers: &[SimulatedWorker], task: TaskId, ms: u64) -> Vec<(SmolStr, u64, String)> {
    let ends = workers.iter().flat_map(|worker| worker.ended.iter().map(move |end| (worker, end)));
    let done = ends.filter(|(_, end)| end.task == task && end.outcome == AttemptOutcome::Done);
    let describe = |(worker, end): (&SimulatedWorker, &EndedAttempt)| {
        let left = worker.deadline_ms as i64 - worker.clock(ms) as i64;
        let (token, reachable) = (worker.token, worker.reachable);
        let lease = format!("lease {left} ms, token {token}, reachable {reachable}");
        (worker.id.clone(), end.number, lease)
    };
    done.map(describe).collect()
}

/// Returns how often a job runs.
fn occurrences(spec: &JobSpec) -> u32 {
    spec.schedule.map_or(1, |schedule| schedule.times)
}

impl Platform for CrashPlatform {
    type Store = CrashStore;

    fn store(&self) -> &CrashStore {
        &self.store
    }

    fn layout(&self) -> &KeyLayout {
        self.inner.layout()
    }

    fn parse_operator_item(&self, key: &Key, value: &[u8]) -> Result<OperatorItem, ParseError> {
        self.inner.parse_operator_item(key, value)
    }

    fn removed_drain(&self, key: &Key) -> Option<ZoneId> {
        self.inner.removed_drain(key)
    }

    fn parse_worker(&self, key: &Key, value: &[u8]) -> Result<WorkerRegistration, ParseError> {
        self.inner.parse_worker(key, value)
    }

    fn wave_status_item(&self, number: u64, state: WaveState) -> (Key, Value) {
        self.inner.wave_status_item(number, state)
    }

    async fn start(&self, start: &StartCommand) -> StartReply {
        self.store.link.live().await;
        let answer = self.judge.carry_out(start);
        let fleet = &self.judge.cluster.fleet;
        let clock_ms = fleet.with(&start.incarnation.id, |worker, ms| worker.clock(ms));
        self.store.link.live().await;
        StartReply { answer, clock_ms }
    }

    async fn stop(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
        token: FencingToken,
    ) -> CommandAnswer {
        self.store.link.live().await;
        let stop =
            |worker: &mut SimulatedWorker, ms| worker.stop(task, attempt, token, STOP_MS, ms);
        match self.judge.cluster.fleet.with(&incarnation.id, stop) {
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
        tokio::time::sleep(wait.min(POLL_WAIT_MAX)).await;
        self.store.link.live().await;
        self.judge.answer_poll(renewal)
    }

    async fn machines(&self) -> Option<Vec<Machine>> {
        self.inner.machines().await
    }

    async fn command_machine(
        &self,
        command: &MachineCommand,
        holder: &NodeId,
        token: FencingToken,
    ) -> MachineAnswer {
        self.inner.command_machine(command, holder, token).await
    }

    async fn advise(
        &self,
        permit: Permit,
        step: StepId,
        workers: &[HostId],
    ) -> Result<AdviserAnswer, Failure> {
        self.inner.advise(permit, step, workers).await
    }
}
