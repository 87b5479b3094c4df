//! Commands to machines while the store is slow.

#[allow(dead_code, reason = "each test uses a part")]
mod support;

use std::collections::BTreeSet;

use serde::Deserialize;
use support::{Cluster, Node, eventually, id, job};
use vg_base::prelude::*;
use vg_flow::{Machine, MachineState, StepSpec};
use vg_jobs::Resources;
use vg_lead::SubmitOutcome;

/// Machines of the spare pool.
const SPARE_MACHINES: usize = 40;
/// Time by which the store delays each call.
const STORE_DELAY: Duration = Duration::from_millis(150);
/// Time between two jobs, more than a round of decisions takes.
const JOB_INTERVAL: Duration = Duration::from_millis(25);

/// Time within which a job is accepted, also if the process stands still meanwhile.
const SUBMIT_TIME_MAX: Duration = Duration::from_secs(20);
/// An entry of the record of commands.
#[derive(Debug, Deserialize)]
struct CommandRecord {
    machine: SmolStr,
    at: SystemTime,
}

/// The commands that the record has named, and when they were recorded. The record names each
/// for a few seconds only.
#[derive(Debug, Default)]
struct Commands(BTreeSet<(SystemTime, SmolStr)>);

impl Commands {
    async fn read(&mut self, cluster: &Cluster) {
        let Some(value) = cluster.value("vg/orders").await else { return };
        let commands: Vec<CommandRecord> = rmp_serde::from_slice(&value).unwrap();
        self.0.extend(commands.into_iter().map(|each| (each.at, each.machine)));
    }

    /// Returns the numbers of commands and of the records that they were written in.
    fn count(&self) -> (usize, usize) {
        let records: BTreeSet<_> = self.0.iter().map(|(at, _)| at).collect();
        (self.0.len(), records.len())
    }
}

/// Makes the store slow for the host that leads, and for that one only. Returns the other one.
/// The leadership changes if the process stands still for as long as it lasts.
fn slow_down_leader<'a>(a: &'a Node, b: &'a Node) -> &'a Node {
    let (leader, other) = if b.host.is_leading() { (b, a) } else { (a, b) };
    leader.faults.set_delay(STORE_DELAY);
    other.faults.set_delay(Duration::ZERO);
    other
}

/// Guards against a record for each round of decisions: with a slow store, a few
/// machines a second would move where many are needed.
#[tokio::test]
async fn commands_of_several_rounds_share_one_record_while_the_store_is_slow() {
    let cluster = Cluster::new().await;
    let machine = |at: usize| Machine {
        id: smol_str::format_smolstr!("m{at}"),
        pool: "spare".parse().unwrap(),
        state: MachineState::Up,
        capacity: Resources::new(16_000, 32 << 30, 0),
        zone: None,
    };
    *cluster.fleet.machines.lock().unwrap() = (0..SPARE_MACHINES).map(machine).collect();
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    // The pool has its smallest size before the load begins.
    eventually(async || cluster.key("vg/orders").await).await;
    let b = cluster.node("b").await;
    // Each job needs one more machine, so that most rounds decide about one move.
    let step = StepSpec {
        count: 8,
        need: Resources::new(2000, 1 << 30, 0),
        continuous: true,
        ..StepSpec::default()
    };
    let mut commands = Commands::default();
    for number in 1..=30 {
        let spec = vg_flow::JobSpec { steps: vec![step.clone()], ..job(1) };
        let until = Instant::now() + SUBMIT_TIME_MAX;
        let other = slow_down_leader(&a, &b);
        assert_eq!(other.host.submit(id(number), spec, until).await, SubmitOutcome::Accepted);
        tokio::time::sleep(JOB_INTERVAL).await;
        commands.read(&cluster).await;
    }
    eventually(async || {
        commands.read(&cluster).await;
        commands.count().0 >= 20
    })
    .await;
    let (commands, records) = commands.count();
    assert!(records * 2 <= commands, "{records} records for {commands} commands");
}
