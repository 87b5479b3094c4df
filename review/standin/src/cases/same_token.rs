//! Rule TWICE: the last host gives the leadership up while the store is silent, and leads again
//! under the same token.

use std::time::Duration;

use crate::deployment::{Deployment, wait_for};
use crate::map;
use crate::record::Record;
use crate::worker::Kind;

const JOB: &str = "00000000000000f1";
const TASK: &str = "00000000000000f1.0.0.0";
/// Time for which the store is silent: longer than three heartbeats.
const SILENCE: Duration = Duration::from_millis(4500);
/// Duration of a task: it still runs when the store is back.
const TASK_MS: u64 = 9_000;

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let kinds = ["w-1", "w-2"].map(|id| Kind::new(id, "desk", &["a", "r1-1"]));
    let mut deployment = Deployment::start(record, &kinds, 2);
    if trouble {
        deployment.kill_follower();
        std::thread::sleep(Duration::from_secs(4));
    }
    deployment.durations.lock().unwrap().insert(TASK.to_owned(), TASK_MS);
    let step = map! {
        "count" => 1u64, "cpu" => 4000u64, "mem-mb" => 256u64, "estimate-ms" => TASK_MS,
    };
    let body = map! {"spec" => "x", "steps" => vec![step]}.to_string();
    let answer = deployment.call(0, "POST", JOB, &body);
    if answer.is_none_or(|(status, _)| status != 200) {
        crate::cannot_run("the job is not accepted");
    }
    if !wait_for(Duration::from_secs(5), || deployment.is_running(TASK)) {
        crate::cannot_run("the task does not start");
    }
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        let runs_on_first = deployment.with_worker("w-1", |worker| worker.is_running(TASK));
        let (busy, idle) = if runs_on_first { ("w-1", "w-2") } else { ("w-2", "w-1") };
        let back = [(idle, Duration::from_millis(100)), (busy, Duration::from_millis(1800))];
        deployment.lose_store(SILENCE, &back);
    }
    wait_for(Duration::from_secs(40), || deployment.state(0, JOB) == "complete");
    record.line(format_args!("the job is {}", deployment.state(0, JOB)));
    deployment.end();
    let mut broken = record.starts_after_done();
    broken.extend(record.overlaps());
    broken
}
