//! Rule TWICE: occurrences of a job overlap, later ones are done before the first, and the
//! leader's process is killed.

use std::time::{Duration, SystemTime};

use crate::deployment::{Deployment, wait_for};
use crate::map;
use crate::record::Record;
use crate::worker::Kind;

const JOB: &str = "00000000000000a1";
/// Duration of the first occurrence's task: several times that of the others.
const LONG_TASK_MS: u64 = 9_000;

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let kinds = ["w-1", "w-2", "w-3"].map(|id| Kind::new(id, "desk", &["a", "r1-1"]));
    let mut deployment = Deployment::start(record, &kinds, 3);
    deployment.durations.lock().unwrap().insert(format!("{JOB}.0.0.0"), LONG_TASK_MS);
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let job = map! {
        "spec" => "x", "repeats" => 3u64, "interval-ms" => 1000u64,
        "first-run-ms" => since.as_millis() as u64 + 500,
        "steps" => vec![map! {
            "count" => 1u64, "cpu" => 1000u64, "mem-mb" => 256u64, "estimate-ms" => 1500u64,
        }],
    };
    let answer = deployment.call(0, "POST", JOB, &job.to_string());
    if answer.is_none_or(|(status, _)| status != 200) {
        crate::cannot_run("the job is not accepted");
    }
    let later = [1, 2].map(|occurrence| format!("{JOB}.{occurrence}.0.0"));
    let are_done = || later.iter().all(|task| record.is_noted_done(task));
    if !wait_for(Duration::from_secs(15), are_done) {
        crate::cannot_run("the later occurrences are not done in time");
    }
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        deployment.kill_leader();
    }
    wait_for(Duration::from_secs(30), || deployment.state(0, JOB) == "complete");
    record.line(format_args!("the job is {}", deployment.state(0, JOB)));
    deployment.end();
    record.starts_after_done()
}
