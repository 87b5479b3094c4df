//! Dispatch of calls to endpoints, at their pool's owner.
//!
//! A call waits in its pool's scheduler until it gets a [`Grant`]: a slot of
//! an endpoint, a unit of its team and its turn. Then the exchange with the
//! endpoint runs in a task of its own, so that a caller that goes away can't
//! make a used slot look free.

mod exchange;
mod grant;
mod pool;
mod run;
mod waiting;

pub(crate) use grant::Grant;
pub(crate) use pool::PoolDispatch;
pub(crate) use run::run;
