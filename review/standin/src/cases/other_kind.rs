//! Rule ROUTE: a server crashes and starts again under its id as a server of another kind.

use std::time::Duration;

use crate::deployment::{Deployment, wait_for};
use crate::map;
use crate::record::{Event, Record};
use crate::worker::Kind;

const JOBS: u64 = 6;

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let kinds = ["w-1", "w-2"].map(|id| Kind::new(id, "desk", &["a", "r1-1"]));
    let deployment = Deployment::start(record, &kinds, 2);
    if trouble {
        let addr = deployment.crash_worker("w-1");
        std::thread::sleep(Duration::from_secs(1));
        deployment.restart_worker(&Kind::new("w-1", "desk", &["b", "r1-1"]), 2, addr);
        // Several heartbeats, and longer than servers take to be back.
        std::thread::sleep(Duration::from_secs(5));
    }
    let step = map! {
        "count" => 4u64, "cpu" => 4000u64, "mem-mb" => 256u64, "estimate-ms" => 500u64,
        "requires" => "a",
    };
    let body = map! {"spec" => "x", "steps" => vec![step]}.to_string();
    let id = |job: u64| format!("{:016x}", 0xb0 + job);
    for job in 0..JOBS {
        let answer = deployment.call(0, "POST", &id(job), &body);
        if answer.is_none_or(|(status, _)| status != 200) {
            crate::cannot_run("a job is not accepted");
        }
    }
    let is_done = |job| deployment.state(0, &id(job)) == "complete";
    wait_for(Duration::from_secs(30), || (0..JOBS).all(is_done));
    deployment.end();
    let wrong = record.events().into_iter().filter_map(|(ms, event)| match event {
        Event::Start { worker, life: 2, task, run } => Some(format!(
            "{task} run {run}, which requires label a, starts on {worker}, whose labels are b \
             and r1-1, at {:.3} s",
            ms as f64 / 1000.0
        )),
        _ => None,
    });
    wrong.collect()
}
