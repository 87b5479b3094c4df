//! A stand-in for a server that runs tasks.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Answer, Request, Server};
use crate::json::Json;
use crate::record::{Event, Record};
use crate::store::Store;

/// Longest lease that a worker keeps.
const MAX_HOLD_MS: u64 = 10_000;
/// Time that a stop takes.
const STOP_MS: u64 = 100;
/// Interval between two writes of a registration.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Duration of a task that has none set.
const DEFAULT_TASK_MS: u64 = 500;

/// Duration of a task that lasts until it is stopped.
pub const LASTING_MS: u64 = 1 << 40;
/// Time after which a task that lasts is at work.
const STARTUP_MS: u64 = 300;

/// Durations of tasks in milliseconds.
pub type Durations = Arc<Mutex<HashMap<String, u64>>>;

struct Run {
    started_ms: u64,
    ends_ms: u64,
    stopping: bool,
}

impl Run {
    fn percent(&self, now: u64) -> u64 {
        let (passed, whole) = (now - self.started_ms, self.ends_ms - self.started_ms);
        match whole >= LASTING_MS {
            true => {
                if passed >= STARTUP_MS {
                    100
                } else {
                    0
                }
            }
            false => (passed * 99 / whole.max(1)).min(99),
        }
    }
}

/// What a worker knows in one life.
#[derive(Default)]
struct Life {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, String)>,
    last_end: u64,
    noted: u64,
    /// Highest run of each task that was stopped or has ended.
    over: HashMap<String, u64>,
}

struct Inner {
    id: String,
    pool: String,
    labels: Vec<String>,
    life: u64,
    born_ms: u64,
    began: Instant,
    state: (Mutex<Life>, Condvar),
    durations: Durations,
    record: Record,
    /// Whether each second call to poll gets no answer and is kept, to be carried out later.
    keeps_polls: Mutex<bool>,
    polls: AtomicU64,
    kept: Mutex<Vec<Vec<u8>>>,
}

/// One life of a worker.
pub struct Worker {
    inner: Arc<Inner>,
    server: Server,
}

/// What a worker is.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub pool: String,
    pub labels: Vec<String>,
}

impl Kind {
    pub fn new(id: &str, pool: &str, labels: &[&str]) -> Kind {
        let labels = labels.iter().map(|&each| each.to_owned()).collect();
        Kind { id: id.to_owned(), pool: pool.to_owned(), labels }
    }
}

impl Worker {
    /// Starts a life of a worker at an address; port 0 takes a free one.
    pub fn start(
        kind: &Kind,
        life: u64,
        addr: SocketAddr,
        durations: &Durations,
        record: &Record,
    ) -> std::io::Result<Worker> {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let inner = Arc::new(Inner {
            id: kind.id.clone(),
            pool: kind.pool.clone(),
            labels: kind.labels.clone(),
            life,
            born_ms: since.as_millis() as u64,
            began: Instant::now(),
            state: Default::default(),
            durations: Arc::clone(durations),
            record: record.clone(),
            keeps_polls: Mutex::new(false),
            polls: AtomicU64::new(0),
            kept: Mutex::default(),
        });
        let copy = Arc::clone(&inner);
        let server = Server::start(addr, move |request| copy.answer(request))?;
        let copy = Arc::downgrade(&inner);
        std::thread::spawn(move || {
            while let Some(inner) = copy.upgrade() {
                inner.advance();
                drop(inner);
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        record.line(format_args!("{} begins life {life} with labels {:?}", kind.id, kind.labels));
        Ok(Worker { inner, server })
    }

    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Ends the process: connections break and nothing runs any more.
    pub fn crash(&self) {
        self.inner.record.line(format_args!("{} crashes", self.inner.id));
        self.server.stop();
        let mut state = self.inner.state.0.lock().unwrap();
        state.running.clear();
    }

    /// Leaves each second call to poll unanswered from now on, and keeps it.
    pub fn keep_polls(&self, keeps: bool) {
        *self.inner.keeps_polls.lock().unwrap() = keeps;
    }

    /// Returns the calls to poll that were kept.
    pub fn kept_polls(&self) -> Vec<Vec<u8>> {
        std::mem::take(&mut *self.inner.kept.lock().unwrap())
    }

    /// Delivers a call to poll that was sent before, as a delayed one arrives: with its header,
    /// at the address that it was sent to. Nobody waits for its answer any more.
    pub fn deliver_late(&self, body: &[u8]) {
        let text = String::from_utf8_lossy(body).into_owned();
        self.inner.record.line(format_args!("a call arrives late at {}: {text}", self.inner.id));
        let headers = [("x-verbenagap-expect-instance", self.inner.id.as_str())];
        let wait = Duration::from_millis(50);
        http::call(self.server.addr, "POST", "/v1/hold", &headers, &text, wait);
    }

    pub fn is_running(&self, task: &str) -> bool {
        let state = self.inner.state.0.lock().unwrap();
        state.running.keys().any(|(each, _)| each == task)
    }

    /// Writes the registration.
    pub fn register(&self, store: &Store, seq: u64) {
        let inner = &self.inner;
        let labels: Vec<Json> = inner.labels.iter().map(|each| each.as_str().into()).collect();
        let entry = map! {
            "service" => inner.pool.as_str(), "addr" => self.server.addr.to_string(),
            "zone" => "z-1", "version" => "v1", "slots" => 8u64, "state" => "ready",
            "cold-left-ms" => 0u64, "seq" => seq, "born" => inner.born_ms,
            "capacity" => map! {"cpu" => 16000u64, "mem-mb" => 32768u64, "gpu" => 0u64},
            "labels" => labels, "machine" => format!("m-{}", inner.id),
        };
        store.put(&format!("servers/{}", inner.id), &entry.to_string());
    }
}

impl Inner {
    fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    /// Ends the runs that are due, and all runs if the lease has lapsed.
    fn advance(&self) {
        let now = self.ms();
        let mut state = self.state.0.lock().unwrap();
        let lapsed = now > state.lease_ms;
        let due = state.running.iter().filter(|(_, run)| lapsed || now >= run.ends_ms);
        let due: Vec<_> = due.map(|(key, run)| (key.clone(), run.stopping)).collect();
        for ((task, run), stopping) in due {
            let how = match (lapsed, stopping) {
                (true, _) => "lapsed",
                (false, true) => "stopped",
                (false, false) => "done",
            };
            state.running.remove(&(task.clone(), run));
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.clone(), run, how.to_owned()));
            let over = state.over.entry(task.clone()).or_default();
            *over = run.max(*over);
            let (worker, how) = (self.id.clone(), how.to_owned());
            self.record.event(Event::End { worker, life: self.life, number, task, run, how });
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let named = request.headers.get("x-verbenagap-expect-instance");
        if named.is_some_and(|id| *id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body);
        match request.route() {
            "/v1/run-start" => Some(self.start(&body)),
            "/v1/run-stop" => Some(self.stop(&body)),
            "/v1/pace" => Some((200, map! {"clock-ms" => self.ms()}.to_string())),
            "/v1/hold" => {
                let is_second = self.polls.fetch_add(1, Ordering::Relaxed) % 2 == 1;
                if is_second && *self.keeps_polls.lock().unwrap() {
                    self.kept.lock().unwrap().push(request.body.clone());
                    std::thread::sleep(Duration::from_secs(60));
                    return None;
                }
                self.wait(&body);
                Some(self.poll(&body))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, map! {"clock-ms" => self.ms(), "reason" => reason}.to_string())
    }

    /// Takes a call's fence and deadline; `false` if the fence is lower than one seen before.
    fn admit(&self, state: &mut Life, body: &Json, now: u64) -> bool {
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < state.fence {
            return false;
        }
        state.fence = fence;
        if let Some(deadline) = body.get("deadline-ms").number() {
            state.lease_ms = state.lease_ms.max(deadline.min(now + MAX_HOLD_MS));
        }
        true
    }

    fn start(&self, body: &Json) -> (u16, String) {
        let now = self.ms();
        let mut state = self.state.0.lock().unwrap();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let run = run.unwrap_or(0);
        let is_late = body.get("deadline-ms").number().is_none_or(|deadline| deadline < now);
        if body.get("fence").number().unwrap_or(0) >= state.fence && is_late {
            return self.refuse("late");
        }
        if !self.admit(&mut state, body, now) {
            return self.refuse("fence");
        }
        let accepted = map! {"clock-ms" => now}.to_string();
        if state.running.contains_key(&(task.clone(), run)) {
            return (200, accepted);
        }
        if state.over.get(&task).is_some_and(|&over| run <= over) {
            return self.refuse("old");
        }
        let duration = self.durations.lock().unwrap().get(&task).copied();
        let ends_ms = now + duration.unwrap_or(DEFAULT_TASK_MS);
        state
            .running
            .insert((task.clone(), run), Run { started_ms: now, ends_ms, stopping: false });
        let worker = self.id.clone();
        self.record.event(Event::Start { worker, life: self.life, task, run });
        (200, accepted)
    }

    fn stop(&self, body: &Json) -> (u16, String) {
        let now = self.ms();
        let mut state = self.state.0.lock().unwrap();
        if !self.admit(&mut state, body, now) {
            return self.refuse("fence");
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let run = run.unwrap_or(0);
        self.record.line(format_args!("{} is told to stop {task} run {run}", self.id));
        let over = state.over.entry(task.clone()).or_default();
        *over = run.max(*over);
        if let Some(run) = state.running.get_mut(&(task, run)) {
            run.stopping = true;
            run.ends_ms = run.ends_ms.min(now + STOP_MS);
        }
        (200, map! {"clock-ms" => now}.to_string())
    }

    /// Waits until an end is listed that the caller has not seen, for as long as it asks.
    fn wait(&self, body: &Json) {
        let wait_ms = body.get("wait-ms").number().unwrap_or(0);
        let seen = body.get("last-seen").number().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        // The lease is renewed and ends are forgotten when the call arrives.
        let mut state = self.state.0.lock().unwrap();
        if !self.admit(&mut state, body, self.ms()) {
            return;
        }
        self.forget_ends(&mut state, seen);
        while state.ended.iter().all(|(number, ..)| *number <= seen) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Forgets the ends up to a number that the caller has taken note of.
    fn forget_ends(&self, state: &mut Life, seen: u64) {
        state.ended.retain(|(number, ..)| *number > seen);
        let up_to = seen.min(state.last_end);
        if up_to > state.noted {
            state.noted = up_to;
            let worker = self.id.clone();
            self.record.event(Event::Noted { worker, life: self.life, up_to });
        }
    }

    fn poll(&self, body: &Json) -> (u16, String) {
        let now = self.ms();
        let mut state = self.state.0.lock().unwrap();
        if !self.admit(&mut state, body, now) {
            return self.refuse("fence");
        }
        let seen = body.get("last-seen").number().unwrap_or(0);
        self.forget_ends(&mut state, seen);
        let running = state.running.iter().map(|((task, run), each)| {
            let row = [task.as_str().into(), (*run).into(), "".into(), each.percent(now).into()];
            Json::List([&row[..], &[0.5.into()]].concat())
        });
        let running: Vec<_> = running.collect();
        let ended = state.ended.iter().map(|(number, task, run, how)| {
            let row = [(*number).into(), task.as_str().into(), (*run).into(), how.as_str().into()];
            Json::List([&row[..], &["".into()]].concat())
        });
        let ended: Vec<_> = ended.collect();
        let report = map! {
            "clock-ms" => now, "born" => self.born_ms, "running" => running, "ended" => ended,
        };
        (200, report.to_string())
    }
}
