//! What a process knows of the work on all workers after it has given the leadership up,
//! for the next leadership of the same process.
//!
//! A leader that is alone during an outage of the store gives up, as it can't know that no
//! other host leads. If it is the next one to lead, nobody has started anything meanwhile,
//! and only the tasks that it has started itself may run on workers that don't answer.

use vg_base::prelude::*;

use crate::workers::unresolved::UnresolvedWork;
use crate::{FencingToken, Scheduler};

/// The work that may run on each worker after a leadership has ended.
#[derive(Debug, Clone)]
pub struct RetainedWork {
    token: FencingToken,
    work: UnresolvedWork,
}

impl RetainedWork {
    /// Returns what still holds in a leadership with `token`, which followed one with
    /// `earlier`: nothing if another host has led since.
    pub fn succeed(self, earlier: FencingToken, token: FencingToken) -> Option<RetainedWork> {
        (self.token == earlier).then_some(RetainedWork { token, ..self })
    }

    /// The token of the leadership in which it holds.
    pub fn token(&self) -> FencingToken {
        self.token
    }
}

impl Scheduler {
    /// Ends all decisions and returns the work that may run on each worker from now on. No
    /// command may be sent afterwards.
    pub fn retain_work(&mut self) -> RetainedWork {
        self.freeze();
        RetainedWork { token: self.token, work: self.all_unresolved() }
    }

    /// Restores the work that may run on each worker, in place of the records that are in
    /// the store. What has ended by `now` is left out.
    pub fn restore_work(&mut self, retained: RetainedWork, now: Instant) {
        self.unresolved = retained.work;
        self.has_predecessor = true;
        self.expire_unresolved(now);
    }
}
