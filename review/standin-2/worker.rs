//! A minion, and the record of what it was told and what it ran.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, serve};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// `max-hold-ms` of the settings.
const MAX_HOLD_MS: u64 = 6000;
/// Time that a stop takes, of at most `stop-ms` (400).
const STOP_TIME: Duration = Duration::from_millis(100);
/// `heartbeat-ms` of the settings.
const HEARTBEAT_MS: u64 = 1500;
/// Tasks that take longer last.
const LASTING_S: f64 = 100.0;
/// Capacity in thousandths of a core.
const CPU: u64 = 16000;
/// What each task takes, as the clients of the cases ask for.
const TASK_CPU: u64 = 500;

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub started: Instant,
    /// When and how it ended.
    pub ended: Option<(Instant, &'static str)>,
}

struct Running {
    task: String,
    run: u64,
    since: Instant,
    until: Instant,
    stop_at: Option<Instant>,
    /// Its place in `runs`.
    at: usize,
}

struct Life {
    id: String,
    born: u64,
    started: Instant,
    fence: u64,
    running: Vec<Running>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of a task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    deadline: Instant,
    is_up: bool,
}

struct State {
    life: Life,
    runs: Vec<Run>,
    /// Fence of the last order.
    last_fence: u64,
}

#[derive(Clone)]
pub struct Worker {
    pub machine: String,
    pub service: String,
    /// Address that it registers.
    pub addr: SocketAddr,
    store: Store,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Life {
    fn new(id: &str) -> Life {
        let now = Instant::now();
        Life {
            id: id.to_owned(),
            born: wall_ms(),
            started: now,
            fence: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            deadline: now,
            is_up: true,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest = Instant::now() + Duration::from_millis(MAX_HOLD_MS);
        let asked = self.started + Duration::from_millis(deadline_ms);
        self.deadline = self.deadline.max(asked.min(longest));
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }
}

impl State {
    /// Ends what is over.
    fn advance(&mut self, record: &Record) -> bool {
        let now = Instant::now();
        let lapse = self.life.deadline;
        let is_over = |running: &Running| {
            let stop = running.stop_at.unwrap_or(running.until);
            running.until.min(stop).min(lapse) <= now
        };
        let (over, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.life.running).into_iter().partition(is_over);
        self.life.running = left;
        let any = !over.is_empty();
        for each in over {
            let stop = each.stop_at.unwrap_or(each.until + Duration::from_secs(1));
            let (at, how) = if each.until <= lapse && each.until <= stop {
                (each.until, "done")
            } else if stop <= lapse {
                (stop, "stopped")
            } else {
                (lapse, "lapsed")
            };
            self.end(each, at, how, record);
        }
        any
    }

    fn end(&mut self, each: Running, at: Instant, how: &'static str, record: &Record) {
        let seconds = record.seconds(at);
        let id = &self.life.id;
        record.line(format!("{id}: run {} of {} ended {how} at {seconds:.3}", each.run, each.task));
        self.runs[each.at].ended = Some((at, how));
        self.life.close(&each.task, each.run);
        self.life.last_end += 1;
        self.life.ended.push((self.life.last_end, each.task, each.run, how));
    }

    fn start(&mut self, body: &Json, record: &Record) -> Option<Response> {
        let task = body.get("task").text()?.to_owned();
        let (run, fence) = (body.get("run").num()?, body.get("fence").num().unwrap_or(0));
        let deadline = body.get("deadline-ms").num()?;
        let work: u64 = body.get("spec").text()?.strip_prefix("ms=")?.parse().ok()?;
        let clock = self.life.clock_ms();
        let answer = |status, reason: &str| {
            let body = format!("{{\"clock-ms\":{clock},\"reason\":\"{reason}\"}}");
            record.line(format!(
                "{}: start of run {run} of {task}, fence {fence}: {status} {reason}",
                self.life.id
            ));
            Some((status, body))
        };
        if fence < self.life.fence {
            return answer(409, "fence");
        }
        if self.life.running.iter().any(|each| each.task == task && each.run == run) {
            return answer(200, "");
        }
        if self.life.closed.get(&task).is_some_and(|&closed| run <= closed) {
            return answer(409, "old");
        }
        if deadline < clock {
            return answer(409, "late");
        }
        if (self.life.running.len() as u64 + 1) * TASK_CPU > CPU {
            return answer(409, "room");
        }
        let reply = answer(200, "");
        self.life.fence = fence;
        self.last_fence = fence;
        self.life.extend(deadline);
        let now = Instant::now();
        let worker = self.life.id.clone();
        self.runs.push(Run { worker, task: task.clone(), run, started: now, ended: None });
        let until = now + Duration::from_millis(work);
        let at = self.runs.len() - 1;
        self.life.running.push(Running { task, run, since: now, until, stop_at: None, at });
        reply
    }

    fn stop(&mut self, body: &Json, record: &Record) -> Option<Response> {
        let task = body.get("task").text()?;
        let (run, fence) = (body.get("run").num()?, body.get("fence").num().unwrap_or(0));
        let clock = self.life.clock_ms();
        record.line(format!("{}: stop of run {run} of {task}, fence {fence}", self.life.id));
        if fence < self.life.fence {
            return Some((409, format!("{{\"clock-ms\":{clock},\"reason\":\"fence\"}}")));
        }
        self.life.fence = fence;
        self.life.close(task, run);
        for each in self.life.running.iter_mut().filter(|each| each.task == task && each.run == run)
        {
            each.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        Some((200, format!("{{\"clock-ms\":{clock}}}")))
    }

    fn lists(&self) -> Response {
        let running = self.life.running.iter().map(|each| {
            let whole = each.until.saturating_duration_since(each.since).as_secs_f64();
            let percent = (100.0 * each.since.elapsed().as_secs_f64() / whole).min(99.0) as u64;
            // A task that lasts is at work after a short startup.
            let percent = if whole >= LASTING_S { 100 } else { percent };
            format!("[\"{}\",{},\"\",{percent},{TASK_CPU}]", each.task, each.run)
        });
        let running: Vec<String> = running.collect();
        let ended = self.life.ended.iter().take(500);
        let ended = ended
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        let body = format!(
            "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.life.clock_ms(),
            self.life.born,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}

impl Worker {
    /// Starts a worker that listens on `listener` and registers `addr`.
    pub fn start(
        id: &str,
        machine: &str,
        service: &str,
        listener: TcpListener,
        addr: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> Worker {
        let state = State { life: Life::new(id), runs: Vec::new(), last_fence: 0 };
        let worker = Worker {
            machine: machine.to_owned(),
            service: service.to_owned(),
            addr,
            store: store.clone(),
            record: record.clone(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = worker.clone();
        serve(listener, move |request| server.answer(&request));
        let beats = worker.clone();
        std::thread::spawn(move || {
            for seq in 0.. {
                beats.register(seq);
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        let clock = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                if clock.shared.0.lock().unwrap().advance(&clock.record) {
                    clock.shared.1.notify_all();
                }
            }
        });
        worker
    }

    fn register(&self, seq: u64) {
        let state = self.shared.0.lock().unwrap();
        if !state.life.is_up {
            return;
        }
        let value = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"z-1\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{},\"machine\":\"{}\",\
             \"capacity\":{{\"cpu\":{CPU},\"mem-mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"]}}",
            self.service, self.addr, state.life.born, self.machine
        );
        let key = format!("servers/{}", state.life.id);
        drop(state);
        self.store.put(&key, &value);
    }

    /// Ends the present life with all that runs, and starts one with another id after a time.
    pub fn replace(&self, id: String, after: Duration) {
        let mut state = self.shared.0.lock().unwrap();
        state.advance(&self.record);
        let now = Instant::now();
        for each in std::mem::take(&mut state.life.running) {
            state.runs[each.at].ended = Some((now, "killed"));
        }
        state.life.is_up = false;
        let old = state.life.id.clone();
        drop(state);
        self.store.remove(&format!("servers/{old}"));
        let worker = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            worker.record.line(format!("{id} joins on {}", worker.machine));
            worker.shared.0.lock().unwrap().life = Life::new(&id);
            worker.register(0);
        });
    }

    /// Ends the present life with all that runs. Its registration stays for a while.
    pub fn crash(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.advance(&self.record);
        let now = Instant::now();
        for each in std::mem::take(&mut state.life.running) {
            state.runs[each.at].ended = Some((now, "killed"));
        }
        state.life.is_up = false;
        self.record.line(format!("{} crashes", state.life.id));
    }

    /// Starts the worker again under its id.
    pub fn restart(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let id = state.life.id.clone();
        state.life = Life::new(&id);
        self.record.line(format!("{id} starts again, born {}", state.life.born));
        drop(state);
        self.register(0);
    }

    pub fn id(&self) -> String {
        self.shared.0.lock().unwrap().life.id.clone()
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.0.lock().unwrap().runs.clone()
    }

    /// Whether a run of a task is at work.
    pub fn is_running(&self, job: &str) -> bool {
        let state = self.shared.0.lock().unwrap();
        state.life.running.iter().any(|each| each.task.starts_with(job))
    }

    /// Returns the fence of the last order to start.
    pub fn last_fence(&self) -> u64 {
        self.shared.0.lock().unwrap().last_fence
    }

    fn answer(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.shared.0.lock().unwrap();
        let expected = request.header("x-verbenagap-expect-instance");
        if !state.life.is_up || expected != Some(state.life.id.as_str()) {
            return (421, "{}".to_owned());
        }
        state.advance(&self.record);
        let answer = match request.path.as_str() {
            "/v1/run-start" => state.start(&body, &self.record),
            "/v1/run-stop" => state.stop(&body, &self.record),
            "/v1/pace" => Some((200, format!("{{\"clock-ms\":{}}}", state.life.clock_ms()))),
            "/v1/hold" => {
                drop(state);
                return self.hold(&body);
            }
            _ => Some((404, "{}".to_owned())),
        };
        answer.unwrap_or((400, "{}".to_owned()))
    }

    fn hold(&self, body: &Json) -> Response {
        let (fence, seen) =
            (body.get("fence").num().unwrap_or(0), body.get("last-seen").num().unwrap_or(0));
        let until = Instant::now()
            + Duration::from_millis(body.get("wait-ms").num().unwrap_or(0).min(2000));
        let mut state = self.shared.0.lock().unwrap();
        if fence < state.life.fence {
            let clock = state.life.clock_ms();
            return (409, format!("{{\"clock-ms\":{clock},\"reason\":\"fence\"}}"));
        }
        state.life.fence = fence;
        if let Some(deadline) = body.get("deadline-ms").num() {
            state.life.extend(deadline);
        }
        state.life.ended.retain(|(number, _, _, _)| *number > seen);
        loop {
            state.advance(&self.record);
            let left = until.saturating_duration_since(Instant::now());
            if !state.life.ended.is_empty() || left.is_zero() {
                return state.lists();
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
