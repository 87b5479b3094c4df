//! Changes of host records.

use derive_more::Display;
use snafu::Snafu;
use vg_base::prelude::*;

use crate::{DrainPurpose, HostRecord, HostState, ListedHost, WallTime};

/// A host that gets its first record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The host.
    pub host: HostId,
    /// The pool that it will serve.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Whether it is set up for the pool.
    pub ready: bool,
}

impl Adoption {
    pub(crate) fn new(listed: &ListedHost, pool: PoolId) -> Adoption {
        let ready = listed.pool.as_ref() == Some(&pool);
        let ListedHost { host, zone, rack, .. } = listed.clone();
        Adoption { host, pool, zone, rack, ready }
    }
}

/// What changes in a record.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Change {
    /// The host gets its first record.
    #[display("adopt into {}", _0.pool)]
    Adopt(Adoption),
    /// It takes no new work from now on.
    #[display("drain for {_0}")]
    Drain(DrainPurpose),
    /// A drain is taken back.
    #[display("cancel drain")]
    CancelDrain,
    /// It runs nothing any more.
    #[display("emptied")]
    MarkEmpty,
    /// It reboots; the start that must end.
    #[display("reboot")]
    Reboot(Incarnation),
    /// It passes to the pool that it was drained for.
    #[display("move")]
    Move,
    /// It is back and has to be proved.
    #[display("probe")]
    Probe,
    /// It is proved and takes work.
    #[display("activate")]
    Activate,
    /// It is lost.
    #[display("lose")]
    MarkLost,
    /// Its record goes; the host is gone for good.
    #[display("forget")]
    Forget,
}

/// A change of one host's record.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{change} {host}")]
pub struct Transition {
    /// The host.
    pub host: HostId,
    /// What changes.
    pub change: Change,
}

/// What a planner writes into each record that it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteContext {
    /// Epoch of the planner.
    pub epoch: Epoch,
    /// Number of the batch, which becomes the record's version.
    pub version: u64,
    /// The time.
    pub now: WallTime,
}

/// A step that does not follow from the host's state.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{step}` does not follow from {state}"))]
pub struct TransitionError {
    /// The step.
    step: String,
    /// The state of the host.
    state: String,
}

impl Transition {
    pub(crate) fn new(host: &HostId, change: Change) -> Transition {
        Transition { host: host.clone(), change }
    }

    /// Returns the record after the step, or `None` when it goes.
    ///
    /// # Errors
    ///
    /// When the step does not follow from the state of `record`.
    pub fn apply(
        &self,
        record: Option<&HostRecord>,
        mark: WriteContext,
    ) -> Result<Option<HostRecord>, TransitionError> {
        let Some(record) = record else { return self.adopt(mark) };
        if self.change == Change::Forget && record.state == HostState::Lost {
            return Ok(None);
        }
        let next = self.next(record, mark.now).ok_or_else(|| self.refuse(Some(record)))?;
        let WriteContext { epoch, version, now } = mark;
        Ok(Some(HostRecord { epoch, version, since: now, ..next }))
    }

    fn adopt(&self, mark: WriteContext) -> Result<Option<HostRecord>, TransitionError> {
        let Change::Adopt(adoption) = self.change.clone() else { return Err(self.refuse(None)) };
        let Adoption { host, pool, zone, rack, ready } = adoption;
        let home = pool.clone();
        let state = if ready { HostState::Probation } else { HostState::Moving };
        let boot = Incarnation::ZERO;
        let WriteContext { epoch, version, now } = mark;
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

    fn next(&self, record: &HostRecord, now: WallTime) -> Option<HostRecord> {
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

    fn refuse(&self, record: Option<&HostRecord>) -> TransitionError {
        let state = record.map_or("no record".to_owned(), |record| record.state.to_string());
        TransitionError { step: self.to_string(), state }
    }
}

impl HostRecord {
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
