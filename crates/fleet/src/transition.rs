//! Transitions of host records.

use derive_more::Display;
use snafu::Snafu;
use vg_base::prelude::*;

use crate::{DrainPurpose, HostRecord, HostState, ListedHost, WallTime};

/// The content of a host's first record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The host.
    pub host: HostId,
    /// The pool that the host will serve.
    pub pool: PoolId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Rack of the host.
    pub rack: RackId,
    /// Whether the host is already set up for the pool.
    pub ready: bool,
}

impl Adoption {
    pub(crate) fn new(listed: &ListedHost, pool: PoolId) -> Adoption {
        let ready = listed.pool.as_ref() == Some(&pool);
        let ListedHost { host, zone, rack, .. } = listed.clone();
        Adoption { host, pool, zone, rack, ready }
    }
}

/// A kind of change of a record.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Change {
    /// The host gets its first record.
    #[display("adopt into {}", _0.pool)]
    Adopt(Adoption),
    /// The host accepts no new work from now on.
    #[display("drain for {_0}")]
    Drain(DrainPurpose),
    /// The drain of the host is cancelled.
    #[display("cancel drain")]
    CancelDrain,
    /// The host runs no work any more.
    #[display("emptied")]
    MarkEmpty,
    /// The host reboots; the value is the incarnation that has to end.
    #[display("reboot")]
    Reboot(Incarnation),
    /// The host moves to the pool for which it was drained.
    #[display("move")]
    Move,
    /// The host is back and has to pass its probes.
    #[display("probe")]
    Probe,
    /// The host has passed its probes and accepts work.
    #[display("activate")]
    Activate,
    /// The host is lost.
    #[display("lose")]
    MarkLost,
    /// The record is removed, because the host no longer exists.
    #[display("forget")]
    Forget,
}

/// A change of the record of one host.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{change} {host}")]
pub struct Transition {
    /// The host.
    pub host: HostId,
    /// The change.
    pub change: Change,
}

/// The values that a planner writes into each record that it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteContext {
    /// Epoch of the planner.
    pub epoch: Epoch,
    /// Number of the batch, which becomes the version of the record.
    pub version: u64,
    /// Current time.
    pub now: WallTime,
}

/// A transition that is not possible in the host's state.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{transition}` does not follow from {state}"))]
pub struct TransitionError {
    /// The transition.
    transition: String,
    /// The state of the host.
    state: String,
}

impl Transition {
    pub(crate) fn new(host: &HostId, change: Change) -> Transition {
        Transition { host: host.clone(), change }
    }

    /// Returns the record after the transition, or `None` if the transition
    /// removes the record.
    ///
    /// # Errors
    ///
    /// If the transition is not possible in the state of `record`.
    pub fn apply(
        &self,
        record: Option<&HostRecord>,
        context: WriteContext,
    ) -> Result<Option<HostRecord>, TransitionError> {
        let Some(record) = record else { return self.first_record(context) };
        if self.change == Change::Forget && record.state == HostState::Lost {
            return Ok(None);
        }
        let next = self.next_record(record, context.now).ok_or_else(|| self.error(Some(record)))?;
        let WriteContext { epoch, version, now } = context;
        Ok(Some(HostRecord { epoch, version, since: now, ..next }))
    }

    fn first_record(&self, context: WriteContext) -> Result<Option<HostRecord>, TransitionError> {
        let Change::Adopt(adoption) = self.change.clone() else { return Err(self.error(None)) };
        let Adoption { host, pool, zone, rack, ready } = adoption;
        let home = pool.clone();
        let state = if ready { HostState::Probation } else { HostState::Moving };
        let boot = Incarnation::ZERO;
        let WriteContext { epoch, version, now } = context;
        let (since, maintained) = (now, now);
        let record = HostRecord {
            host,
            pool,
            home,
            zone,
            rack,
            state,
            epoch,
            version,
            boot,
            since,
            maintained,
        };
        Ok(Some(record))
    }

    /// Returns the changed record, or `None` if the change is not possible.
    fn next_record(&self, record: &HostRecord, now: WallTime) -> Option<HostRecord> {
        use HostState as S;
        let mut next = record.clone();
        next.state = match (&record.state, &self.change) {
            (S::Active, Change::Drain(purpose)) => S::Draining(purpose.clone()),
            (S::Draining(_) | S::Empty(_), Change::CancelDrain) => S::Active,
            (S::Draining(purpose), Change::MarkEmpty) => S::Empty(purpose.clone()),
            (S::Empty(DrainPurpose::Maintain), Change::Reboot(boot)) => {
                next.boot = *boot;
                S::Rebooting
            }
            (S::Lost, Change::Reboot(boot)) if *boot == record.boot => S::Rebooting,
            (S::Empty(purpose), Change::Move) => {
                next.change_pool(purpose)?;
                S::Moving
            }
            (S::Rebooting, Change::Probe) => {
                next.maintained = now;
                S::Probation
            }
            (S::Moving | S::Lost, Change::Probe) => S::Probation,
            (S::Probation, Change::Activate) => S::Active,
            (S::Lost, Change::MarkLost) => return None,
            (_, Change::MarkLost) => S::Lost,
            _ => return None,
        };
        Some(next)
    }

    fn error(&self, record: Option<&HostRecord>) -> TransitionError {
        let state = record.map_or("no record".to_owned(), |record| record.state.to_string());
        TransitionError { transition: self.to_string(), state }
    }
}

impl HostRecord {
    /// Sets the pool and the home for the purpose of the drain. Returns `None` for
    /// maintenance, which does not change the pool.
    fn change_pool(&mut self, purpose: &DrainPurpose) -> Option<()> {
        match purpose {
            DrainPurpose::Maintain => return None,
            DrainPurpose::Lend(pool) => self.pool = pool.clone(),
            DrainPurpose::Return => self.pool = self.home.clone(),
            DrainPurpose::Rehome(pool) => {
                self.pool = pool.clone();
                self.home = pool.clone();
            }
        }
        Some(())
    }
}
