//! Rule LOST: two servers crash, one after the other, while a task that lasts has just started
//! on them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::deployment::{Deployment, wait_for};
use crate::map;
use crate::record::{Event, Record};
use crate::worker::{Kind, LASTING_MS};

const JOB: &str = "00000000000000e1";
const TASK: &str = "00000000000000e1.0.0.0";
/// Seven servers, of which one at a time is a share of less than 0.15.
const SERVERS: [&str; 7] = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7"];
/// Times from the first and the second start of the task to the crashes of its servers.
const CRASH_AFTER: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(250)];
/// Time for which a server is down.
const DOWN_TIME: Duration = Duration::from_millis(1000);

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let kinds = SERVERS.map(|id| Kind::new(id, "desk", &["a", "r1-1"]));
    let deployment = Deployment::start(record, &kinds, 2);
    deployment.durations.lock().unwrap().insert(TASK.to_owned(), LASTING_MS);
    let step = map! {
        "count" => 1u64, "cpu" => 1000u64, "mem-mb" => 256u64, "estimate-ms" => 900u64,
        "long-running" => true,
    };
    let body = map! {"spec" => "x", "steps" => vec![step]}.to_string();
    let answer = deployment.call(0, "POST", JOB, &body);
    if answer.is_none_or(|(status, _)| status != 200) {
        crate::cannot_run("the job is not accepted");
    }
    let starts = || -> Vec<String> {
        let events = record.events().into_iter();
        let started = events.filter_map(|(_, event)| match event {
            Event::Start { worker, .. } => Some(worker),
            _ => None,
        });
        started.collect()
    };
    let crashes = if trouble { &CRASH_AFTER[..] } else { &[] };
    for (crash, after) in crashes.iter().enumerate() {
        if !wait_for(Duration::from_secs(15), || starts().len() > crash) {
            crate::cannot_run("the task does not start");
        }
        std::thread::sleep(*after);
        let id = starts().remove(crash);
        let addr: SocketAddr = deployment.crash_worker(&id);
        std::thread::sleep(DOWN_TIME);
        deployment.restart_worker(&Kind::new(&id, "desk", &["a", "r1-1"]), 2, addr);
    }
    // Longer than a task that lasts may be without a run.
    std::thread::sleep(Duration::from_secs(12));
    let state =
        deployment.call(0, "GET", JOB, "").map(|(_, body)| body.get("state").text().to_owned());
    let state = state.unwrap_or_default();
    let is_running = deployment.is_running(TASK);
    record.line(format_args!("the task {}", if is_running { "runs" } else { "does not run" }));
    deployment.end();
    let failed_ends = record
        .events()
        .into_iter()
        .filter(|(_, event)| matches!(event, Event::End { how, .. } if how == "failed"));
    let failed_ends = failed_ends.count();
    let mut broken = Vec::new();
    if state != "queued" && state != "running" {
        broken.push(format!(
            "the job, which nobody has cancelled, is shown as `{state}`; {failed_ends} runs have \
             ended `failed`"
        ));
    }
    if !is_running {
        broken.push(format!("{TASK} lasts and does not run 12 s after its last run"));
    }
    broken
}
