//! Keys and records of the hosts in the store.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `vg/live/host/NODE` | [`HostValue`], leased | each host |
//! | `vg/live/leader` | [`LeaderValue`], leased | the leader |
//! | `vg/term` | record of the leader; its revision is the fencing token | the leader |
//! | `vg/in/JOB` | the job's specification | the host that accepted it |
//! | `vg/in/JOB/cancel` | empty | the host that accepted the cancellation |
//! | `vg/run/JOB` | the job's progress | the leader |
//! | `vg/end/JOB` | [`OutcomeRecord`], deleted after its retention | the leader; the host that accepted the cancellation of a job that doesn't exist |
//! | `vg/lives/SHARD` | worker incarnations that may have received work | the leader |
//! | `vg/lives` | [`INCARNATIONS_MOVED`]; earlier versions kept all incarnations there | the leader |
//! | `vg/waves` | progress of maintenance waves | the leader |
//! | `vg/orders` | [`CommandRecord`]s of machines that received a command recently | the leader |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use vg_base::prelude::*;
use vg_flow::{EarlierCommand, JobOutcome, MachineCommand};
use vg_store::Key;

use crate::HostCapacity;
use crate::messages::is_false;

/// Prefix of the leased keys of hosts and of the leader.
pub(crate) const LIVE_PREFIX: &str = "vg/live/";
pub(crate) const HOST_PREFIX: &str = "vg/live/host/";
pub(crate) const LEADER_KEY: &str = "vg/live/leader";
pub(crate) const TERM_KEY: &str = "vg/term";
pub(crate) const JOB_PREFIX: &str = "vg/in/";
pub(crate) const PROGRESS_PREFIX: &str = "vg/run/";
pub(crate) const OUTCOME_PREFIX: &str = "vg/end/";
pub(crate) const INCARNATIONS_PREFIX: &str = "vg/lives/";
pub(crate) const INCARNATIONS_KEY: &str = "vg/lives";
/// Value that a leader of an earlier version can not decode: it then treats every
/// worker as one that may have received work.
pub(crate) const INCARNATIONS_MOVED: &[u8] = b"moved to vg/lives/";
pub(crate) const WAVES_KEY: &str = "vg/waves";
pub(crate) const COMMANDS_KEY: &str = "vg/orders";
const CANCEL_SUFFIX: &str = "/cancel";

/// Record of a host that is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostValue {
    #[serde(rename = "control")]
    pub(crate) peer_addr: SocketAddr,
    pub(crate) zone: ZoneId,
    #[serde(default)]
    pub(crate) capacity: HostCapacity,
}

/// Record of the host that leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderValue {
    pub(crate) node: NodeId,
    #[serde(rename = "control")]
    pub(crate) peer_addr: SocketAddr,
    /// Random number that distinguishes one start of the process from another.
    pub(crate) nonce: u64,
}

/// A machine that received a command, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CommandRecord {
    pub(crate) machine: SmolStr,
    /// Wall time of the sender, for operators and earlier versions. It decides nothing here,
    /// as the clocks of two hosts may differ.
    pub(crate) at: SystemTime,
    /// The wave for which the machine may be down. Earlier versions did not record it.
    #[serde(default)]
    pub(crate) wave: Option<u64>,
    /// Time from the command until the record was written: the least time that has passed
    /// when the record is read. Earlier versions did not record it.
    #[serde(default)]
    pub(crate) age: Duration,
}

/// A command to a machine that this host has sent, or of which it has read the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecordedCommand {
    pub(crate) machine: SmolStr,
    pub(crate) wave: Option<u64>,
    /// Wall time of the sender.
    pub(crate) at: SystemTime,
    /// When it was sent, on this host's monotonic clock; not earlier than in truth.
    pub(crate) since: Instant,
}

impl RecordedCommand {
    /// Returns a command that is about to be sent.
    pub(crate) fn new(command: &MachineCommand, at: SystemTime, now: Instant) -> RecordedCommand {
        let wave = match command {
            MachineCommand::Maintain { wave, .. } => Some(*wave),
            MachineCommand::Move { .. } => None,
        };
        RecordedCommand { machine: command.machine().clone(), wave, at, since: now }
    }

    /// Returns the command of a record that was read at `now` at the latest.
    pub(crate) fn from_record(record: CommandRecord, now: Instant) -> RecordedCommand {
        let since = now.checked_sub(record.age).unwrap_or(now);
        RecordedCommand { machine: record.machine, wave: record.wave, at: record.at, since }
    }

    /// Returns the time since it was sent.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns it for a leader that has read it.
    pub(crate) fn to_earlier(&self, now: Instant) -> EarlierCommand {
        EarlierCommand { machine: self.machine.clone(), wave: self.wave, age: self.age(now) }
    }

    /// Returns the record of it that is written at `now`.
    pub(crate) fn to_record(&self, now: Instant) -> CommandRecord {
        let (machine, wave) = (self.machine.clone(), self.wave);
        CommandRecord { machine, at: self.at, wave, age: self.age(now) }
    }
}

/// The outcome of a job and the team that the job belongs to. Earlier versions wrote it under
/// a lease, or with a wall time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OutcomeRecord {
    #[serde(rename = "how")]
    pub(crate) outcome: JobOutcome,
    pub(crate) team: Option<TeamId>,
    /// Whether the job was cancelled before it was accepted. No such job exists, and the
    /// record keeps a write of it that is on its way from taking effect. Earlier versions
    /// show the job as cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(crate) unaccepted: bool,
}

pub(crate) fn host(node: &NodeId) -> Key {
    Key(format_smolstr!("{HOST_PREFIX}{node}"))
}

pub(crate) fn job(id: JobId) -> Key {
    Key(format_smolstr!("{JOB_PREFIX}{:x}", id.value()))
}

pub(crate) fn cancel(id: JobId) -> Key {
    Key(format_smolstr!("{JOB_PREFIX}{:x}{CANCEL_SUFFIX}", id.value()))
}

pub(crate) fn progress(id: JobId) -> Key {
    Key(format_smolstr!("{PROGRESS_PREFIX}{:x}", id.value()))
}

pub(crate) fn outcome(id: JobId) -> Key {
    Key(format_smolstr!("{OUTCOME_PREFIX}{:x}", id.value()))
}

pub(crate) fn incarnation_shard(shard: usize) -> Key {
    Key(format_smolstr!("{INCARNATIONS_PREFIX}{shard}"))
}

/// Parses the number of a shard of incarnations.
pub(crate) fn parse_incarnation_shard(key: &Key) -> Option<usize> {
    key.0.strip_prefix(INCARNATIONS_PREFIX)?.parse().ok()
}

/// The meaning of a key under [`JOB_PREFIX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// The specification of a job.
    Job(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
}

/// Parses a key under [`JOB_PREFIX`].
pub(crate) fn parse_job_key(key: &Key) -> Option<JobKey> {
    let rest = key.0.strip_prefix(JOB_PREFIX)?;
    match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobKey::Cancel),
        None => rest.parse().ok().map(JobKey::Job),
    }
}

/// Parses the job id that follows `prefix` in a key.
pub(crate) fn parse_job_id(key: &Key, prefix: &str) -> Option<JobId> {
    key.0.strip_prefix(prefix)?.parse().ok()
}
