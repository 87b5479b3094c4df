//! The minions: what runs on them, and the interface by which they are told to.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json};
use vg_emulator::reply;
use vg_net::{Body, Limits, Server, ServerHandle, Service, ServiceError, read_body};

use crate::plan::{StepPlan, parse};
use crate::record::{Record, lock};

/// Interval at which the minions advance.
const TICK: Duration = Duration::from_millis(5);
/// Time after the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Longest time for which a minion holds an answer back.
const WAIT_MAX: Duration = Duration::from_secs(2);
/// Most ends in one answer.
const ENDS_MAX: usize = 500;

/// Bounds of the deployment that minions keep to.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// `max-hold-ms`.
    pub max_hold: Duration,
    /// `stop-ms`.
    pub stop: Duration,
    /// `gang-timeout-ms`.
    pub gang_timeout: Duration,
    /// `checkpoint-s`.
    pub checkpoint: Duration,
    /// `restore-ms`.
    pub restore: Duration,
}

/// A run on a minion.
#[derive(Debug)]
struct Run {
    task: String,
    run: u64,
    plan: StepPlan,
    /// The checkpoint that its start carried.
    carried: String,
    saved: String,
    began: Instant,
    /// Work done, in milliseconds, including that before the checkpoint.
    work: f64,
    stop_at: Option<Instant>,
}

impl Run {
    /// Returns the name of its gang: all members carry the same run and checkpoint.
    fn gang(&self) -> (String, u64, String) {
        (step_of(&self.task).to_owned(), self.run, self.carried.clone())
    }

    fn percent(&self, now: Instant) -> u64 {
        if self.plan.lasting {
            return if now >= self.began + STARTUP { 100 } else { 50 };
        }
        (self.work * 100.0 / (self.plan.work_ms.max(1) as f64)).min(99.0) as u64
    }
}

/// An end that a minion lists.
#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

#[derive(Debug)]
struct Minion {
    service: String,
    millicores: u32,
    born: u64,
    machine: String,
    started: Instant,
    up: bool,
    fence: u64,
    /// End of the lease on its own clock.
    deadline_ms: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
}

impl Minion {
    fn clock(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_millis() as u64 + 1
    }

    fn used(&self) -> u32 {
        self.runs.iter().map(|run| run.plan.cpu).sum()
    }

    fn prolong(&mut self, deadline_ms: u64, max_hold: Duration, now: Instant) {
        let longest = self.clock(now) + max_hold.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
    }
}

/// Something that happened to a run, for the judgement.
#[derive(Debug, Clone)]
pub struct Happening {
    /// When.
    pub at: Instant,
    /// The task.
    pub task: String,
    /// The run.
    pub run: u64,
    /// `start`, or how it ended; `gone` if its minion crashed.
    pub how: &'static str,
    /// The checkpoint that its start carried.
    pub carried: String,
    /// When it was started.
    pub began: Instant,
}

#[derive(Debug)]
struct Inner {
    minions: BTreeMap<String, Minion>,
    happenings: Vec<Happening>,
    advanced: Instant,
    /// Tickets by minion and step, and until when they are valid.
    tickets: HashMap<(String, String), (String, Instant)>,
    /// Services whose starts need a ticket.
    advised: HashSet<String>,
}

/// All minions of a deployment.
#[derive(Debug)]
pub struct Floor {
    bounds: Bounds,
    record: Record,
    inner: Mutex<Inner>,
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn checkpoint_of(task: &str, work_ms: u64) -> String {
    let job = task.split('.').next().unwrap_or_default();
    format!("{work_ms:08x}{}", &job[..job.len().min(8)])
}

fn work_of(checkpoint: &str) -> f64 {
    let digits = checkpoint.get(..8).unwrap_or_default();
    u64::from_str_radix(digits, 16).unwrap_or_default() as f64
}

impl Inner {
    fn note(&mut self, record: &Record, minion: &str, run: &Run, how: &'static str, now: Instant) {
        let carried = if run.carried.is_empty() { "none" } else { &run.carried };
        record.add(format!(
            "{how} {} run {} on {minion}; its start carried checkpoint {carried}",
            run.task, run.run
        ));
        self.happenings.push(Happening {
            at: now,
            task: run.task.clone(),
            run: run.run,
            how,
            carried: run.carried.clone(),
            began: run.began,
        });
    }

    /// Ends the runs of a minion that `over` selects.
    fn end(
        &mut self,
        record: &Record,
        id: &str,
        now: Instant,
        over: impl Fn(&Run) -> Option<&'static str>,
    ) -> bool {
        let Some(minion) = self.minions.get_mut(id) else { return false };
        let mut ended = Vec::new();
        let mut at = 0;
        while at < minion.runs.len() {
            match over(&minion.runs[at]) {
                Some(how) => ended.push((minion.runs.remove(at), how)),
                None => at += 1,
            }
        }
        for (run, how) in &mut ended {
            if *how == "stopped" && run.plan.saves {
                run.saved = checkpoint_of(&run.task, run.work as u64);
            }
            minion.last_end += 1;
            minion.ends.push(End {
                number: minion.last_end,
                task: run.task.clone(),
                run: run.run,
                how,
                saved: if *how == "done" { String::new() } else { run.saved.clone() },
            });
            let highest = minion.over.entry(run.task.clone()).or_default();
            *highest = run.run.max(*highest);
        }
        for (run, how) in &ended {
            self.note(record, id, run, how, now);
        }
        !ended.is_empty()
    }

    /// Returns the gangs of which all members are present.
    fn complete_gangs(&self) -> HashSet<(String, u64, String)> {
        let mut present: HashMap<_, u32> = HashMap::new();
        let mut complete = HashSet::new();
        for run in self.minions.values().filter(|each| each.up).flat_map(|each| &each.runs) {
            if run.plan.gang {
                let count = present.entry(run.gang()).or_default();
                *count += 1;
                if *count >= run.plan.count {
                    complete.insert(run.gang());
                }
            }
        }
        complete
    }

    /// Lets the work go on until `now`, and ends what is over.
    fn advance(&mut self, bounds: &Bounds, record: &Record, now: Instant) {
        let passed = now.saturating_duration_since(self.advanced).as_secs_f64() * 1000.0;
        self.advanced = now;
        let complete = self.complete_gangs();
        for minion in self.minions.values_mut().filter(|each| each.up) {
            for run in &mut minion.runs {
                let is_ready = run.carried.is_empty() || now >= run.began + bounds.restore;
                if run.plan.lasting
                    || !is_ready
                    || (run.plan.gang && !complete.contains(&run.gang()))
                {
                    continue;
                }
                run.work += passed;
                let step = bounds.checkpoint.as_millis() as u64;
                let whole = run.work as u64 / step * step;
                if run.plan.saves && whole as f64 > work_of(&run.saved) {
                    run.saved = checkpoint_of(&run.task, whole);
                }
            }
        }
        let ids: Vec<String> = self.minions.keys().cloned().collect();
        self.break_gangs(record, &ids, now);
        for id in &ids {
            let minion = &self.minions[id];
            if !minion.up {
                continue;
            }
            let has_lapsed = minion.clock(now) > minion.deadline_ms;
            self.end(record, id, now, |run| {
                if has_lapsed {
                    Some("lapsed")
                } else if run.stop_at.is_some_and(|at| at <= now) {
                    Some("stopped")
                } else if !run.plan.lasting && run.work >= run.plan.work_ms as f64 {
                    Some("done")
                } else {
                    let waits = run.plan.gang && !complete.contains(&run.gang());
                    (waits && now >= run.began + bounds.gang_timeout).then_some("alone")
                }
            });
        }
        self.break_gangs(record, &ids, now);
    }

    /// Ends the members of gangs of which another member has ended since it started.
    fn break_gangs(&mut self, record: &Record, ids: &[String], now: Instant) {
        let over: HashMap<(String, u64), &'static str> = self
            .happenings
            .iter()
            .rev()
            .take_while(|each| now.saturating_duration_since(each.at) < Duration::from_secs(1))
            .filter(|each| each.how != "start")
            .map(|each| ((step_of(&each.task).to_owned(), each.run), each.how))
            .collect();
        for id in ids {
            if !self.minions[id].up {
                continue;
            }
            self.end(record, id, now, |run| {
                let how = over.get(&(step_of(&run.task).to_owned(), run.run))?;
                let end = if *how == "done" { "done" } else { "broken" };
                run.plan.gang.then_some(end)
            });
        }
    }
}

/// One minion that is reachable until this is dropped or killed.
pub struct MinionServer {
    id: String,
    server: ServerHandle,
    floor: Arc<Floor>,
}

struct MinionService {
    floor: Arc<Floor>,
    id: String,
}

impl Floor {
    /// Creates a floor without minions.
    pub fn new(bounds: Bounds, record: Record) -> Arc<Floor> {
        let inner = Inner {
            minions: BTreeMap::new(),
            happenings: Vec::new(),
            advanced: Instant::now(),
            tickets: HashMap::new(),
            advised: HashSet::new(),
        };
        let floor = Arc::new(Floor { bounds, record, inner: Mutex::new(inner) });
        let ticking = Arc::downgrade(&floor);
        tokio::spawn(async move {
            while let Some(floor) = ticking.upgrade() {
                floor.advance();
                drop(floor);
                tokio::time::sleep(TICK).await;
            }
        });
        floor
    }

    fn advance(&self) {
        lock(&self.inner).advance(&self.bounds, &self.record, Instant::now());
    }

    /// Requires a ticket for each start on the minions of a service.
    pub fn require_tickets(&self, service: &str) {
        lock(&self.inner).advised.insert(service.to_owned());
    }

    /// Gives a ticket for a step and a minion.
    pub fn give_ticket(&self, minion: &str, step: &str, valid: Duration) -> String {
        let until = Instant::now() + valid;
        let mut inner = lock(&self.inner);
        let ticket = format!("{minion}-{step}-{}", inner.tickets.len());
        let key = (minion.to_owned(), step.to_owned());
        inner.tickets.insert(key, (ticket.clone(), until));
        ticket
    }

    /// Starts a minion.
    pub async fn start(
        self: &Arc<Floor>,
        id: &str,
        machine: &str,
        service: &str,
        millicores: u32,
        born: u64,
    ) -> Result<MinionServer, vg_net::Error> {
        let server = Server::bind(([127, 0, 0, 1], 0).into(), Limits::default()).await?;
        let minion = Minion {
            service: service.to_owned(),
            millicores,
            born,
            machine: machine.to_owned(),
            started: Instant::now(),
            up: true,
            fence: 0,
            deadline_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            over: HashMap::new(),
        };
        lock(&self.inner).minions.insert(id.to_owned(), minion);
        self.record.add(format!("minion {id} of {service} is up"));
        let service = MinionService { floor: Arc::clone(self), id: id.to_owned() };
        Ok(MinionServer {
            id: id.to_owned(),
            server: server.serve(service),
            floor: Arc::clone(self),
        })
    }

    /// Returns what has happened so far.
    pub fn happenings(&self) -> Vec<Happening> {
        lock(&self.inner).happenings.clone()
    }

    /// Returns the minions on which tasks of a job run, by task, and since when.
    pub fn running(&self, job: &str) -> Vec<(String, String, Instant)> {
        let inner = lock(&self.inner);
        let up = inner.minions.iter().filter(|(_, minion)| minion.up);
        up.flat_map(|(id, minion)| minion.runs.iter().map(move |run| (id, run)))
            .filter(|(_, run)| run.task.starts_with(job))
            .map(|(id, run)| (run.task.clone(), id.clone(), run.began))
            .collect()
    }

    /// Returns the thousandths of a core in use on all minions, and those that they have.
    pub fn use_of(&self, service: &str) -> (u32, u32) {
        let inner = lock(&self.inner);
        let up = inner.minions.values().filter(|each| each.up && each.service == service);
        up.fold((0, 0), |sum, each| (sum.0 + each.used(), sum.1 + each.millicores))
    }

    fn start_run(&self, id: &str, body: &Value) -> Option<Response<Body>> {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        inner.advance(&self.bounds, &self.record, now);
        let task = body["task"].as_str()?.to_owned();
        let run = body["run"].as_u64()?;
        let fence = body["fence"].as_u64().unwrap_or_default();
        let deadline_ms = body["deadline-ms"].as_u64()?;
        let carried = body["last-checkpoint"].as_str().unwrap_or_default().to_owned();
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        let plan = parse(body["spec"].as_str()?, step)?;
        let key = (id.to_owned(), step_of(&task).to_owned());
        let ticket = inner.tickets.get(&key).filter(|(_, until)| *until > now);
        let is_permitted = ticket.is_some_and(|(ticket, _)| body["ticket"] == ticket.as_str());
        let needs_ticket = inner.advised.contains(&inner.minions.get(id)?.service);
        let max_hold = self.bounds.max_hold;
        let minion = inner.minions.get_mut(id)?;
        let clock = minion.clock(now);
        let refuse = |reason: &str| Some(reply(409, &json!({"clock-ms": clock, "reason": reason})));
        if fence < minion.fence {
            return refuse("fence");
        }
        minion.fence = fence;
        if deadline_ms < clock {
            return refuse("late");
        }
        if minion.runs.iter().any(|each| each.task == task && each.run == run) {
            minion.prolong(deadline_ms, max_hold, now);
            return Some(reply(200, &json!({"clock-ms": clock})));
        }
        if needs_ticket && !is_permitted {
            return refuse("ticket");
        }
        minion.prolong(deadline_ms, max_hold, now);
        if minion.over.get(&task).is_some_and(|&over| run <= over) {
            return refuse("old");
        }
        if minion.used() + plan.cpu > minion.millicores {
            return refuse("room");
        }
        let started = Run {
            task,
            run,
            plan,
            saved: carried.clone(),
            work: work_of(&carried),
            carried,
            began: now,
            stop_at: None,
        };
        inner.note(&self.record, id, &started, "start", now);
        inner.minions.get_mut(id)?.runs.push(started);
        Some(reply(200, &json!({"clock-ms": clock})))
    }

    fn stop_run(&self, id: &str, body: &Value) -> Option<Response<Body>> {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        inner.advance(&self.bounds, &self.record, now);
        let task = body["task"].as_str()?;
        let run = body["run"].as_u64()?;
        let fence = body["fence"].as_u64().unwrap_or_default();
        let stop = self.bounds.stop;
        let minion = inner.minions.get_mut(id)?;
        let clock = minion.clock(now);
        if fence < minion.fence {
            return Some(reply(409, &json!({"clock-ms": clock, "reason": "fence"})));
        }
        minion.fence = fence;
        let found = minion.runs.iter_mut().find(|each| each.task == task && each.run == run);
        match found {
            Some(found) => _ = found.stop_at.get_or_insert(now + stop / 2),
            None => {
                let highest = minion.over.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
            }
        }
        self.record.add(format!("stop of {task} run {run} on {id} by fence {fence}"));
        Some(reply(200, &json!({"clock-ms": clock})))
    }

    async fn hold(&self, id: &str, body: &Value) -> Option<Response<Body>> {
        let fence = body["fence"].as_u64().unwrap_or_default();
        let seen = body["last-seen"].as_u64()?;
        {
            let now = Instant::now();
            let mut inner = lock(&self.inner);
            inner.advance(&self.bounds, &self.record, now);
            let max_hold = self.bounds.max_hold;
            let minion = inner.minions.get_mut(id)?;
            if fence < minion.fence {
                let clock = minion.clock(now);
                return Some(reply(409, &json!({"clock-ms": clock, "reason": "fence"})));
            }
            minion.fence = fence;
            minion.ends.retain(|end| end.number > seen);
            if let Some(deadline_ms) = body["deadline-ms"].as_u64() {
                minion.prolong(deadline_ms, max_hold, now);
            }
        }
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or_default());
        let until = Instant::now() + wait.min(WAIT_MAX);
        while Instant::now() < until && !self.has_end(id) {
            tokio::time::sleep(TICK).await;
        }
        self.report(id, fence)
    }

    fn has_end(&self, id: &str) -> bool {
        lock(&self.inner).minions.get(id).is_some_and(|minion| !minion.ends.is_empty())
    }

    fn report(&self, id: &str, fence: u64) -> Option<Response<Body>> {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        inner.advance(&self.bounds, &self.record, now);
        let minion = inner.minions.get(id)?;
        let clock = minion.clock(now);
        if fence < minion.fence {
            return Some(reply(409, &json!({"clock-ms": clock, "reason": "fence"})));
        }
        let running = |run: &Run| {
            json!([run.task, run.run, run.saved, run.percent(now), f64::from(run.plan.cpu)])
        };
        let ended = |end: &End| json!([end.number, end.task, end.run, end.how, end.saved]);
        let body = json!({
            "clock-ms": clock, "born": minion.born,
            "running": minion.runs.iter().map(running).collect::<Vec<_>>(),
            "ended": minion.ends.iter().take(ENDS_MAX).map(ended).collect::<Vec<_>>(),
        });
        Some(reply(200, &body))
    }
}

impl MinionServer {
    /// Returns what the minion writes into the store about itself.
    pub fn registration(&self, state: &str) -> Value {
        let inner = lock(&self.floor.inner);
        let minion = &inner.minions[&self.id];
        json!({
            "service": minion.service, "addr": self.server.addr().to_string(), "zone": "z-1",
            "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0, "seq": 1,
            "born": minion.born, "machine": minion.machine,
            "capacity": {"cpu": minion.millicores, "mem-mb": 32768, "gpu": 0},
            "labels": ["a", "r1-1"],
        })
    }

    /// Ends the minion like a process that crashes.
    pub async fn crash(self) {
        let now = Instant::now();
        {
            let mut inner = lock(&self.floor.inner);
            inner.advance(&self.floor.bounds, &self.floor.record, now);
            let runs = match inner.minions.get_mut(&self.id) {
                Some(minion) => {
                    minion.up = false;
                    std::mem::take(&mut minion.runs)
                }
                None => Vec::new(),
            };
            self.floor.record.add(format!("minion {} crashes", self.id));
            for run in &runs {
                inner.note(&self.floor.record, &self.id, run, "gone", now);
            }
        }
        self.server.kill().await;
    }
}

impl Service for MinionService {
    async fn call(
        &self,
        request: Request<Incoming>,
        _: std::net::SocketAddr,
    ) -> Result<Response<Body>, ServiceError> {
        let (head, body) = request.into_parts();
        let bytes = read_body(body, 1 << 20).await.map_err(ServiceError::new)?;
        let body: Value = serde_json::from_slice(&bytes).map_err(ServiceError::new)?;
        let named = head.headers.get("x-verbenagap-expect-instance");
        if named.is_some_and(|id| id != self.id.as_str()) {
            return Ok(reply(421, &json!({})));
        }
        let answer = match head.uri.path() {
            "/v1/run-start" => self.floor.start_run(&self.id, &body),
            "/v1/run-stop" => self.floor.stop_run(&self.id, &body),
            "/v1/hold" => self.floor.hold(&self.id, &body).await,
            "/v1/pace" => Some(reply(200, &json!({"clock-ms": 1}))),
            _ => Some(reply(404, &json!({}))),
        };
        Ok(answer.unwrap_or_else(|| reply(400, &json!({}))))
    }
}
