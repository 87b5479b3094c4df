//! Rule TWICE: calls to a server get no answer, as they are delayed on their way; the server
//! crashes and starts again under its id, and the calls arrive in its next life.

use std::time::Duration;

use crate::deployment::{Deployment, wait_for};
use crate::map;
use crate::record::Record;
use crate::worker::Kind;

/// Interval at which clients send jobs of [`TASKS`] tasks.
const JOB_INTERVAL: Duration = Duration::from_millis(150);
const TASKS: u64 = 4;
const TASK_MS: u64 = 120;

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let kind = Kind::new("w-1", "desk", &["a", "r1-1"]);
    let deployment = Deployment::start(record, std::slice::from_ref(&kind), 2);
    let mut jobs = 0;
    let mut send_for = |time: Duration| {
        let until = std::time::Instant::now() + time;
        while std::time::Instant::now() < until {
            let id = format!("{:016x}", 0xc00 + jobs);
            for index in 0..TASKS {
                let ms = TASK_MS + 17 * index;
                deployment.durations.lock().unwrap().insert(format!("{id}.0.0.{index}"), ms);
            }
            let step = map! {
                "count" => TASKS, "cpu" => 1000u64, "mem-mb" => 64u64, "estimate-ms" => TASK_MS,
            };
            let body = map! {"spec" => "x", "steps" => vec![step]}.to_string();
            deployment.call(0, "POST", &id, &body);
            jobs += 1;
            std::thread::sleep(JOB_INTERVAL);
        }
    };
    send_for(Duration::from_secs(12));
    let mut kept = Vec::new();
    if trouble {
        deployment.with_worker("w-1", |worker| worker.keep_polls(true));
        send_for(Duration::from_millis(4500));
        kept = deployment.with_worker("w-1", |worker| worker.kept_polls());
        record.line(format_args!("w-1 has left {} calls unanswered", kept.len()));
        let addr = deployment.crash_worker("w-1");
        std::thread::sleep(Duration::from_millis(500));
        deployment.restart_worker(&kind, 2, addr);
    }
    send_for(Duration::from_secs(3));
    for body in kept {
        deployment.with_worker("w-1", |worker| worker.deliver_late(&body));
        send_for(Duration::from_millis(700));
    }
    send_for(Duration::from_secs(1));
    let last = format!("{:016x}", 0xc00 + jobs - 1);
    wait_for(Duration::from_secs(20), || deployment.state(0, &last) == "complete");
    std::thread::sleep(Duration::from_secs(2));
    deployment.end();
    record.starts_after_done()
}
