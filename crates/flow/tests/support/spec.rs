//! Jobs and configurations for tests.

use std::collections::HashMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_flow::{JobSpec, OperatorConfig, Pool, Queue, Schedule, StepSpec, Team};
use vg_jobs::Resources;

/// Cores of a worker in millicores (thousandths of a core).
pub(crate) const CORES: u32 = 16_000;
/// Memory of a worker in bytes.
pub(crate) const MEMORY: u64 = 32 << 30;

pub(crate) fn pool(name: &str) -> PoolId {
    name.parse().unwrap()
}

pub(crate) fn queue(name: &str) -> QueueId {
    name.parse().unwrap()
}

pub(crate) fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

/// Returns a configuration of two pools with a queue each, a spare pool, and a
/// team with a limit.
pub(crate) fn config() -> OperatorConfig {
    let queue_of = |pool: &str, priority| Queue {
        pool: pool.parse().unwrap(),
        priority,
        max_failures: 3,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        public: false,
        adviser: None,
    };
    let mut config = OperatorConfig::new(1, 1 << 18);
    config.add_queue(queue("q-a"), "host".into(), "/a/".into(), queue_of("a", 0));
    config.add_queue(queue("q-b"), "host".into(), "/b/".into(), queue_of("b", 1));
    config.pools = HashMap::from([
        (pool("a"), Pool { rejects_overload: true, spare: false }),
        (pool("b"), Pool { rejects_overload: true, spare: false }),
        (pool("spare"), Pool { rejects_overload: true, spare: true }),
    ]);
    let limit = Resources::new(60_000, 0, 0);
    config.set_teams(HashMap::from([(team("t"), Team { share: Share(1), limit })]));
    config
}

pub(crate) fn step(count: u32, cores: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        need: Resources::new(cores, 1 << 30, 0),
        estimate: Duration::from_millis(estimate_ms),
        ..StepSpec::default()
    }
}

pub(crate) fn job(queue_name: &str, steps: Vec<StepSpec>, accepted: SystemTime) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        queue: queue(queue_name),
        team: Some(team("t")),
        payload: Arc::from("x"),
        steps,
        schedule: None,
        accepted,
        terms: None,
    })
}

/// Returns a job that consists of one task and runs several times.
#[allow(dead_code, reason = "each test uses a part")]
pub(crate) fn scheduled_job(schedule: Schedule, task: StepSpec) -> Arc<JobSpec> {
    let spec = JobSpec::clone(&job("q-a", vec![task], schedule.first));
    Arc::new(JobSpec { schedule: Some(schedule), ..spec })
}
