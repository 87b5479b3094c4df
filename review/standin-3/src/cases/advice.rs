//! Many jobs come at once to a queue whose steps need the adviser's permission.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::adviser::AdviceTimes;
use crate::cases::idle::{self, FINISH};
use crate::deployment::{Deployment, Failure, SERVICE, Size};
use crate::plan::StepPlan;

/// Jobs a second, and how many times as many come while the burst lasts.
const RATE: f64 = 1.2;
const BURST: f64 = 2.6;
const BURST_AT: Duration = Duration::from_secs(6);
const BURST_TIME: Duration = Duration::from_secs(4);
/// Time for which jobs are submitted.
const TRAFFIC: Duration = Duration::from_secs(40);
const TASKS: u32 = 4;

/// Plays the case; returns whether the rule held.
pub async fn play(dir: &Path, trouble: bool) -> Result<bool, Failure> {
    let times = AdviceTimes {
        decide: Duration::from_millis(100),
        period: Duration::from_millis(25),
        valid: Duration::from_secs(3),
    };
    let mut deployment = Deployment::start(Size {
        hosts: 3,
        minions: 16,
        millicores: 16_000,
        max_hold: Duration::from_secs(6),
        advice: Some(times),
    })
    .await?;
    let step = StepPlan { count: TASKS, work_ms: 500, cpu: 1000, ..StepPlan::default() };
    let started = Instant::now();
    let mut jobs = Vec::new();
    let mut due = Duration::ZERO;
    while due < TRAFFIC {
        tokio::time::sleep(due.saturating_sub(started.elapsed())).await;
        let job = format!("8d{:014x}", jobs.len());
        let accepted = deployment.submit(SERVICE, &job, std::slice::from_ref(&step)).await;
        if accepted {
            jobs.push(job);
        }
        let is_burst = trouble && due >= BURST_AT && due < BURST_AT + BURST_TIME;
        due += Duration::from_secs_f64(1.0 / (RATE * if is_burst { BURST } else { 1.0 }));
    }
    tokio::time::sleep((TRAFFIC + FINISH).saturating_sub(started.elapsed())).await;
    let holds = idle::holds(&mut deployment, &jobs, TASKS as usize).await;
    deployment.write_record(dir);
    Ok(holds)
}
