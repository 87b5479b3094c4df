//! Dispatch of calls to endpoints, at the owner of their pool.
//!
//! A call waits in its pool's scheduler until it receives a [`Grant`], which holds a slot
//! of an endpoint, a permit of the call's team and the call's turn. The exchange with the
//! endpoint then runs in a separate task, so that a slot in use does not appear to be
//! free when the caller disconnects.

mod exchange;
mod grant;
mod pool;
mod run;
mod waiting;

pub(crate) use grant::Grant;
pub(crate) use pool::PoolDispatch;
pub(crate) use run::run;
