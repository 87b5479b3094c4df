//! Sequences of faults that are too rare for fuzzing.

use vg_fleet::faults::{FleetFaults, NoFaults};

use crate::op::Op;
use crate::oracle::Violation;
use crate::world::World;

const HOSTS: usize = 18;
const DAYS_5: u64 = 5 * 24 * 60;

/// An order to reboot is not carried out, its planner is paused, the host is
/// lost and found by another planner, and takes work; then the order comes.
fn late_reboot<F: FleetFaults>() -> Result<(), Violation> {
    let mut ops = vec![Op::Advance(DAYS_5), Op::Tick(0, 1, true), Op::Tick(0, 1, true)];
    ops.extend([Op::Tick(0, 1, false), Op::Elect(1, crate::op::Answer::Given)]);
    ops.extend([Op::Elect(0, crate::op::Answer::Given), Op::Tick(0, 40, false)]);
    // Held, so that it is not drained again at once.
    ops.extend((0..3).map(Op::Hold));
    ops.extend((0..6).map(|_| Op::Tick(0, 1, false)));
    ops.push(Op::Watch);
    ops.extend((0..HOSTS).map(Op::Start));
    ops.push(Op::Deliver(1));
    World::<F>::new().run_all(&ops)
}

#[derive(Debug, Clone, Copy, Default)]
struct ForgiveReboot;

impl FleetFaults for ForgiveReboot {
    const SKIP_REBOOT: bool = true;
}

#[test]
fn late_order_to_reboot_cuts_no_work() {
    assert_eq!(late_reboot::<NoFaults>(), Ok(()));
}

#[test]
fn forgive_reboot_is_found() {
    assert!(late_reboot::<ForgiveReboot>().is_err());
}
