//! Keys and records of the hosts in the store.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `vg/live/host/NODE` | [`HostValue`], leased | each host |
//! | `vg/live/leader` | [`LeaderValue`], leased | the leader |
//! | `vg/term` | name of the leader; its revision is the fence | the leader |
//! | `vg/in/JOB` | the job's specification | the host that accepted it |
//! | `vg/in/JOB/cancel` | empty | the host that took the cancellation |
//! | `vg/run/JOB` | progress | the leader |
//! | `vg/end/JOB` | how it ended, leased | the leader |
//! | `vg/lives` | lives of workers that may have been given work | the leader |
//! | `vg/waves` | progress of maintenance waves | the leader |
//! | `vg/orders` | machines that were ordered lately | the leader |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use vg_base::prelude::*;
use vg_flow::JobOutcome;
use vg_store::Key;

pub(crate) const LIVE: &str = "vg/live/";
pub(crate) const HOSTS: &str = "vg/live/host/";
pub(crate) const LEADER: &str = "vg/live/leader";
pub(crate) const TERM: &str = "vg/term";
pub(crate) const IN: &str = "vg/in/";
pub(crate) const RUN: &str = "vg/run/";
pub(crate) const END: &str = "vg/end/";
pub(crate) const LIVES: &str = "vg/lives";
pub(crate) const WAVES: &str = "vg/waves";
pub(crate) const ORDERS: &str = "vg/orders";
const CANCEL: &str = "/cancel";

/// A host that is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostValue {
    #[serde(rename = "control")]
    pub(crate) peer_addr: SocketAddr,
    pub(crate) zone: ZoneId,
}

/// The host that leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderValue {
    pub(crate) node: NodeId,
    #[serde(rename = "control")]
    pub(crate) peer_addr: SocketAddr,
    /// Tells one start of the process from another.
    pub(crate) nonce: u64,
}

/// A machine that was given an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ordered {
    pub(crate) machine: SmolStr,
    pub(crate) at: SystemTime,
}

/// How a job ended, and whose it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndValue {
    pub(crate) how: JobOutcome,
    pub(crate) team: Option<TeamId>,
}

pub(crate) fn host(node: &NodeId) -> Key {
    Key(format_smolstr!("{HOSTS}{node}"))
}

pub(crate) fn job(id: JobId) -> Key {
    Key(format_smolstr!("{IN}{:x}", id.value()))
}

pub(crate) fn cancel(id: JobId) -> Key {
    Key(format_smolstr!("{IN}{:x}{CANCEL}", id.value()))
}

pub(crate) fn progress(id: JobId) -> Key {
    Key(format_smolstr!("{RUN}{:x}", id.value()))
}

pub(crate) fn end(id: JobId) -> Key {
    Key(format_smolstr!("{END}{:x}", id.value()))
}

/// What a key under [`IN`] stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Incoming {
    /// A job.
    Job(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
}

/// Reads a key under [`IN`].
pub(crate) fn incoming(key: &Key) -> Option<Incoming> {
    let rest = key.0.strip_prefix(IN)?;
    match rest.strip_suffix(CANCEL) {
        Some(id) => id.parse().ok().map(Incoming::Cancel),
        None => rest.parse().ok().map(Incoming::Job),
    }
}

/// Reads the job of a key under `prefix`.
pub(crate) fn job_under(key: &Key, prefix: &str) -> Option<JobId> {
    key.0.strip_prefix(prefix)?.parse().ok()
}
