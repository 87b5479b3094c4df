//! Fakes of the store and the workers, and an oracle that checks what they see.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod bench;
pub(crate) mod oracle;
pub(crate) mod store;
pub(crate) mod worker;
pub(crate) mod world;

use std::time::{Duration, Instant, SystemTime};

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Limits, Now, Resources};

/// A monotonic and a wall clock that tests advance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Time {
    start: Instant,
    pub(crate) elapsed: Duration,
}

impl Time {
    pub(crate) fn new() -> Time {
        // The start is far from the lower end of the range, so that earlier times
        // can be represented.
        Time { start: Instant::now() + Duration::from_secs(100_000), elapsed: Duration::ZERO }
    }

    pub(crate) fn now(&self) -> Now {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.elapsed;
        Now { mono: self.start + self.elapsed, wall }
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.elapsed += step;
    }
}

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub(crate) fn member(number: u64) -> Member {
    Member { node: name(&format!("n{number}")), incarnation: Incarnation(number) }
}

pub(crate) fn spec(team: &str, class: Class, idempotent: bool, millis: u32) -> JobSpec {
    JobSpec {
        queue: name(match class {
            Class::Urgent => "notices",
            Class::Background => "feeds",
        }),
        team: name(team),
        class,
        idempotent,
        size: Resources::new(millis, u64::from(millis) << 20, 0),
        run_time: None,
        start_by: None,
        payload: vec![7; 40].into(),
    }
}

/// Limits small enough that little work exercises every mechanism.
pub(crate) fn tight_limits() -> Limits {
    Limits {
        batch_delay: Duration::ZERO,
        batch_interval: Duration::ZERO,
        base_segments: 3,
        retention: Duration::from_secs(60),
        ..Limits::default()
    }
}
