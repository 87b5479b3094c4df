//! Rule UNASKED: the store's answer to the write of a job is lost and the write is carried out
//! late; meanwhile its client has left and has cancelled the job.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::deployment::{Deployment, wait_for};
use crate::map;
use crate::record::{Event, Record};
use crate::store::Fate;
use crate::worker::Kind;

const JOB: &str = "00000000000000d1";
/// Time after which the store carries out the write whose answer is lost.
const LATE: Duration = Duration::from_millis(5500);
/// Time after which the client leaves.
const CLIENT_LEAVES: Duration = Duration::from_millis(100);
/// `cancel_ms` of the settings.
const CANCEL_MS: u64 = 3000;

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let kinds = ["w-1", "w-2"].map(|id| Kind::new(id, "desk", &["a", "r1-1"]));
    let deployment = Deployment::start(record, &kinds, 2);
    if trouble {
        let (copy, is_lost) = (record.clone(), AtomicBool::new(false));
        deployment.store.judge_writes(move |body| {
            let sets = body.get("set-keys").list();
            let is_job = sets.iter().any(|row| row.get("key").text() == "vg/in/d1");
            if is_job && !is_lost.swap(true, Ordering::SeqCst) {
                copy.line(format_args!("the store answers no write of {JOB}: done in {LATE:?}"));
                return Fate::CarriedOutLate(LATE);
            }
            if is_job {
                copy.line(format_args!("the store gets another write of {JOB}"));
            }
            Fate::Answered
        });
    }
    let step = map! {
        "count" => 2u64, "cpu" => 1000u64, "mem-mb" => 64u64, "estimate-ms" => 4000u64,
    };
    let body = map! {"spec" => "x", "steps" => vec![step]}.to_string();
    deployment.call_for(0, "POST", JOB, &body, CLIENT_LEAVES);
    std::thread::sleep(Duration::from_millis(500));
    let answer = deployment.call(1, "DELETE", JOB, "");
    let cancelled = record.ms();
    if !answer.is_some_and(|(status, _)| status == 410 || status / 100 == 2) {
        crate::cannot_run("the cancelling is not acknowledged");
    }
    wait_for(Duration::from_secs(12), || {
        record.events().iter().any(|(_, event)| matches!(event, Event::Start { .. }))
            && record.ms() > cancelled + 8000
    });
    record.line(format_args!("the job is {}", deployment.state(0, JOB)));
    deployment.end();
    let late = record.events().into_iter().filter_map(|(ms, event)| match event {
        Event::Start { worker, task, run, .. } if ms > cancelled + CANCEL_MS => Some(format!(
            "{task} run {run} starts on {worker}, {} ms after the cancelling was acknowledged",
            ms - cancelled
        )),
        _ => None,
    });
    late.collect()
}
