//! Sequences of faults that are too rare for fuzzing to find.

use vg_fleet::faults::{FleetFaults, NoFaults};

use crate::op::Op;
use crate::oracle::Violation;
use crate::world::World;

const HOSTS: usize = 18;
const FIVE_DAYS_MINUTES: u64 = 5 * 24 * 60;

/// A planner is paused before its reboot command is delivered. Another planner
/// marks the host as lost, and the host comes back and gets work. Then the reboot
/// command arrives.
fn late_reboot<F: FleetFaults>() -> Result<(), Violation> {
    let mut ops = vec![Op::Advance(FIVE_DAYS_MINUTES), Op::Tick(0, 1, true), Op::Tick(0, 1, true)];
    ops.extend([Op::Tick(0, 1, false), Op::Claim(1, crate::op::StoreReply::Given)]);
    ops.extend([Op::Claim(0, crate::op::StoreReply::Given), Op::Tick(0, 40, false)]);
    // The pools are on hold so that the host is not drained again immediately.
    ops.extend((0..3).map(Op::ToggleHold));
    ops.extend((0..6).map(|_| Op::Tick(0, 1, false)));
    ops.push(Op::SyncDispatchers);
    ops.extend((0..HOSTS).map(Op::StartWork));
    ops.push(Op::Deliver(1));
    World::<F>::new().run_all(&ops)
}

#[derive(Debug, Clone, Copy, Default)]
struct SkipReboot;

impl FleetFaults for SkipReboot {
    const SKIP_REBOOT: bool = true;
}

/// Guards against a late reboot command that interrupts the work of a host which
/// was lost and came back.
#[test]
fn late_reboot_command_interrupts_no_work() {
    assert_eq!(late_reboot::<NoFaults>(), Ok(()));
}

/// Shows that the sequence detects a planner that lets such a host accept work
/// without a reboot.
#[test]
fn skip_reboot_is_found() {
    assert!(late_reboot::<SkipReboot>().is_err());
}
