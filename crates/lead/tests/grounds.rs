//! What the log tells of why a start was allowed.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::collections::HashMap;

use support::{Cluster, Node, WAVE_PREFIX, eventually, id, job, soon};
use vg_base::prelude::*;
use vg_events::{Code, Event};
use vg_flow::{Machine, MachineState};
use vg_jobs::Resources;
use vg_lead::SubmitOutcome;

/// The fields of an event.
#[derive(Debug)]
struct Fields(HashMap<SmolStr, SmolStr>);

impl Fields {
    fn of(event: &Event) -> Fields {
        let fields = event.fields.iter().map(|field| (field.name.clone(), field.value.clone()));
        Fields(fields.collect())
    }

    fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", SmolStr::as_str)
    }

    /// Returns a time in milliseconds.
    fn ms(&self, name: &str) -> u64 {
        self.get(name).parse().unwrap_or_else(|_| panic!("no time `{name}`: {self:?}"))
    }

    fn check(&self, expected: &[(&str, &str)]) {
        for (name, value) in expected {
            assert_eq!(self.get(name), *value, "`{name}` of {self:?}");
        }
        assert!(self.ms("read-ms") <= self.ms("asked-ms"), "read before it was asked: {self:?}");
    }
}

/// Returns the fields of the events of a code that name a task of a job.
fn events(node: &Node, code: Code, job: JobId) -> Vec<Fields> {
    let events = node.recorder.window(0, usize::MAX).events;
    let fields = events.iter().filter(|event| event.code == code).map(Fields::of);
    fields.filter(|fields| fields.get("task").starts_with(&job.to_string())).collect()
}

/// A task that lasts, and where it runs.
struct Running {
    cluster: Cluster,
    node: Node,
    busy: SmolStr,
    run: SmolStr,
}

/// Starts a task that lasts, as the only one of job 1.
async fn run_task() -> Running {
    let cluster = Cluster::new().await;
    let node = cluster.node("a").await;
    eventually(async || node.host.is_leading()).await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    assert_eq!(node.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || events(&node, Code::TaskStarted, id(1)).len() == 1).await;
    let first = events(&node, Code::TaskStarted, id(1)).remove(0);
    // It depends on how long the host has led.
    assert!(["new", "unrecorded"].contains(&first.get("ground")), "{first:?}");
    assert_eq!(first.get("answer"), "started");
    let (busy, run) = (first.get("worker").into(), first.get("run").into());
    // A report shows it.
    tokio::time::sleep(Duration::from_millis(200)).await;
    Running { cluster, node, busy, run }
}

impl Running {
    /// Waits for the second start. Returns the loss before it, and the start.
    async fn next_start(&self) -> (Fields, Fields) {
        eventually(async || events(&self.node, Code::TaskStarted, id(1)).len() == 2).await;
        let [lost] = <[Fields; 1]>::try_from(events(&self.node, Code::TaskLost, id(1))).unwrap();
        let start = events(&self.node, Code::TaskStarted, id(1)).remove(1);
        assert_ne!(start.get("worker"), self.busy);
        (lost, start)
    }

    /// Checks what a loss and the start after it tell.
    fn check(&self, (lost, start): &(Fields, Fields), how: &str, by: &[(&str, &str)]) {
        let worker = self.busy.as_str();
        let told = [("how", how), ("worker", worker), ("born", "0"), ("run", &self.run)];
        lost.check(&[&told, by].concat());
        assert!(lost.ms("age-ms") > 0);
        let before = [
            ("ground", how),
            ("after-worker", worker),
            ("after-born", "0"),
            ("after-run", &self.run),
        ];
        start.check(&[&before, by].concat());
    }
}

/// Guards against a start whose log doesn't tell that it was allowed because the lease of a
/// worker had ended.
#[tokio::test]
async fn a_start_tells_that_the_lease_of_the_worker_before_had_ended() {
    let running = run_task().await;
    running.cluster.fleet.set_reachable(&running.busy, false);
    let events = running.next_start().await;
    running.check(&events, "lease", &[("lease", "renewed")]);
}

/// Guards against a start whose log doesn't tell which later life of the worker allowed it.
#[tokio::test]
async fn a_start_tells_the_later_life_that_the_worker_before_has_begun() {
    let running = run_task().await;
    running.cluster.fleet.restart(&running.busy);
    let later = running.cluster.fleet.start_of(&running.busy).to_string();
    let events = running.next_start().await;
    running.check(&events, "restarted", &[("by", &later)]);
}

/// Guards against a start whose log doesn't tell which command to a machine allowed it.
#[tokio::test]
async fn a_start_tells_the_command_that_has_taken_the_machine_before_away() {
    let running = run_task().await;
    let machine = |machine: &str| Machine {
        id: machine.into(),
        pool: "p".parse().unwrap(),
        state: MachineState::Up,
        capacity: Resources::new(16_000, 32 << 30, 0),
        zone: None,
    };
    let fleet = &running.cluster.fleet;
    *fleet.machines.lock().unwrap() = ["w1", "w2"].map(machine).to_vec();
    running.cluster.put(&format!("{WAVE_PREFIX}1"), running.busy.as_bytes()).await;
    let events = running.next_start().await;
    let commands = running.node.recorder.window(0, usize::MAX).events;
    let command = commands.iter().find(|event| event.code == Code::MachineCommandSent);
    let command = Fields::of(command.unwrap());
    assert_eq!((command.get("worker"), command.get("born")), (running.busy.as_str(), "0"));
    assert_eq!((command.get("answer"), command.get("runs")), ("done", "1"));
    for time in ["list-ms", "decided-ms", "ms"] {
        command.ms(time);
    }
    running.check(&events, "machine-commanded", &[("by", command.get("order"))]);
}

/// Guards against a start whose log doesn't tell that it was allowed because the lease of a
/// worker had ended, which an earlier leader has recorded.
#[tokio::test]
async fn a_start_after_a_takeover_tells_the_recorded_worker_whose_lease_had_ended() {
    let running = run_task().await;
    running.cluster.fleet.set_reachable(&running.busy, false);
    // Like a killed process, the host hands nothing over.
    running.node.tasks.stop().await;
    let next = running.cluster.node("b").await;
    eventually(async || events(&next, Code::TaskStarted, id(1)).len() == 1).await;
    let start = events(&next, Code::TaskStarted, id(1)).remove(0);
    let worker = running.busy.as_str();
    start.check(&[("ground", "record-lease"), ("after-worker", worker), ("after-born", "0")]);
    assert_eq!(start.get("after-run"), "", "the record has no attempt");
}

/// Guards against a start whose log doesn't tell that it was allowed because the workers that
/// an earlier leader has recorded had answered.
#[tokio::test]
async fn a_start_after_a_takeover_tells_the_last_worker_that_has_answered() {
    let cluster = Cluster::new().await;
    let node = cluster.node("a").await;
    eventually(async || node.host.is_leading()).await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(3);
    assert_eq!(node.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    node.tasks.stop().await;
    let next = cluster.node("b").await;
    // The second step starts once the first one, which is adopted, is done.
    eventually(async || events(&next, Code::TaskStarted, id(1)).len() == 1).await;
    let start = events(&next, Code::TaskStarted, id(1)).remove(0);
    start.check(&[("ground", "answered"), ("after-born", "0"), ("after-run", "")]);
    assert!(["w1", "w2"].contains(&start.get("after-worker")), "{start:?}");
}
