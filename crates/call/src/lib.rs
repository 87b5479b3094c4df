//! Calls to a callee of limited speed.
//!
//! Load that this crate handles: many items need a call to one callee, and a short burst
//! makes calls wait there for longer than their callers do. A call that is given up still
//! takes the callee its time. If each item repeated it by itself after a fixed delay, the
//! callee would be kept busy with calls that nobody waits for, with or without new load:
//! a metastable failure, which ends with a restart only.
//!
//! [`CallWindow`] prevents this by four rules, for all items together:
//!
//! - Few calls are in flight. The rest waits with the caller, who can order them by
//!   urgency and drop those that are not needed any more.
//! - The timeout of a call follows from the time that the callee states for it and for the
//!   calls before it, and from how far its answers have exceeded such times.
//! - A call that was given up stays in flight for as long as the callee may work on it.
//! - [`RetryTokens`] limit repeated calls in proportion to answered ones.
//!
//! Where a callee handles many calls at a time and refuses those beyond its rate, the calls of
//! many callers are not queued, and [`RetryPacer`] bounds the rate of their retries.
//!
//! A window hands out a [`Permit`] for each call. The function that makes a call takes the
//! permit, so that a call which no window has admitted does not compile.

mod pacer;
mod tokens;
mod window;

pub use pacer::RetryPacer;
pub use tokens::RetryTokens;
pub use window::{Call, CallKey, CallKind, CallWindow, Failure, Permit};
