//! The load of contended pools: computed by the leader, kept by the other hosts.
//!
//! Load that this module handles: hundreds of hosts need the load at a peak, when the
//! leader's processor and link are nearly used up. The leader encodes a digest once for
//! all hosts, and a host gets one only if its own is not recent.

use std::sync::Arc;

use bytes::Bytes;
use vg_base::prelude::*;
use vg_flow::{FencingToken, LoadDigest, Scheduler};
use vg_net::{from_msgpack, to_msgpack};

use crate::messages::LoadMessage;

/// Minimum time between two digests of the leader.
const COMPUTE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after recovery before a new leader hands out digests: workers have answered and
/// tasks that were held back have been placed.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Age from which a host wants a newer digest, and minimum time between two calls for one.
pub(crate) const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of an encoded digest in bytes.
pub(crate) const DIGEST_MAX_BYTES: usize = 64 * 1024;

/// Maximum number of bytes of digests that the leader sends per second: 64 Mbit/s. 300
/// hosts that each call every 250 ms for the largest digest would take 608 Mbit/s.
const BYTES_PER_SECOND_MAX: usize = 8_000_000;

/// Limits the bytes of digests that are sent.
#[derive(Debug, Default)]
struct SendLimit {
    since: Option<Instant>,
    sent: usize,
}

impl SendLimit {
    /// Whether so many bytes may be sent now; notes that they are.
    fn allows(&mut self, bytes: usize, now: Instant) -> bool {
        if self.since.is_none_or(|at| now.saturating_duration_since(at) >= Duration::from_secs(1)) {
            *self = SendLimit { since: Some(now), sent: 0 };
        }
        let allowed = self.sent + bytes <= BYTES_PER_SECOND_MAX;
        self.sent += if allowed { bytes } else { 0 };
        allowed
    }
}

/// The last digest that the leader computed.
#[derive(Debug, Default)]
pub(crate) struct LeaderLoad {
    limit: SendLimit,
    first: Option<Instant>,
    computed: Option<Instant>,
    digest: Option<Arc<LoadDigest>>,
    encoded: Option<Bytes>,
}

impl LeaderLoad {
    /// Whether another digest is due. The first call marks the end of recovery.
    pub(crate) fn is_due(&mut self, now: Instant) -> bool {
        self.first.get_or_insert(now);
        self.computed.is_none_or(|at| now.saturating_duration_since(at) >= COMPUTE_INTERVAL)
    }

    /// Computes the digest and encodes it for other hosts.
    pub(crate) fn compute(&mut self, scheduler: &mut Scheduler, now: Instant, wall: SystemTime) {
        self.computed = Some(now);
        let digest = scheduler.load_digest(now, wall);
        let (digest, encoded) = digest.and_then(encode_digest).unzip();
        self.digest = digest.map(Arc::new);
        self.encoded = encoded;
    }

    /// Returns the digest and its age; `None` if no pool is contended or the leader has
    /// recovered a short time ago.
    pub(crate) fn digest(&self, now: Instant) -> Option<(Arc<LoadDigest>, Duration)> {
        let is_settled =
            self.first.is_some_and(|at| now.saturating_duration_since(at) >= SETTLE_TIME);
        let age = now.saturating_duration_since(self.computed?);
        Some((Arc::clone(self.digest.as_ref()?), age)).filter(|_| is_settled)
    }

    /// Returns the message for another host. It has no digest if too much was sent in
    /// this second.
    pub(crate) fn message(&mut self, now: Instant) -> Option<LoadMessage> {
        let (digest, age) = self.digest(now)?;
        let encoded = self.encoded.clone()?;
        let allowed = self.limit.allows(encoded.len(), now);
        Some(LoadMessage { token: digest.token, age, digest: allowed.then_some(encoded) })
    }
}

/// Encodes a digest. Drops the teams with the smallest backlogs if it is larger than
/// [`DIGEST_MAX_BYTES`].
pub(crate) fn encode_digest(mut digest: LoadDigest) -> Option<(LoadDigest, Bytes)> {
    loop {
        let bytes = match to_msgpack(&digest) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "leader", "cannot encode the load: {error}");
                return None;
            }
        };
        let largest = digest.pools.iter().map(|pool| pool.teams.len()).max().unwrap_or_default();
        if bytes.len() <= DIGEST_MAX_BYTES {
            return Some((digest, bytes));
        }
        if largest == 0 {
            log::error!(target: "leader", "the load of {} pools is too large", digest.pools.len());
            return None;
        }
        log::debug!(target: "leader", "the load has {} bytes, teams are left out", bytes.len());
        digest.keep_largest(largest * 3 / 4);
    }
}

/// The last digest that a host received.
#[derive(Debug, Default)]
pub(crate) struct ReceivedLoad {
    digest: Option<Arc<LoadDigest>>,
    /// When it was asked for, and its age then.
    asked: Option<(DualInstant, Duration)>,
    /// When the leader was last called for it.
    called: Option<DualInstant>,
    /// Highest fencing token of a leader that sent a digest.
    token: FencingToken,
}

impl ReceivedLoad {
    /// Takes the leader's answer to a message that was sent at `sent`. A digest of a
    /// former leader is dropped; `None` says that no pool is contended.
    pub(crate) fn take(&mut self, load: Option<LoadMessage>, sent: DualInstant) {
        let Some(load) = load else {
            self.digest = None;
            return;
        };
        if load.token < self.token {
            log::debug!(target: "peers", "dropped the load of a former leader, {}", load.token);
            return;
        }
        self.token = load.token;
        let Some(bytes) = load.digest else { return };
        match from_msgpack(&bytes) {
            Ok(digest) => {
                self.digest = Some(Arc::new(digest));
                self.asked = Some((sent, load.age));
            }
            Err(error) => log::warn!(target: "peers", "the leader's load is malformed: {error}"),
        }
    }

    /// Returns the digest and its age.
    pub(crate) fn digest<C: Clock>(&self, clock: &C) -> Option<(Arc<LoadDigest>, Duration)> {
        let (sent, age) = self.asked?;
        Some((Arc::clone(self.digest.as_ref()?), age.saturating_add(sent.age(clock))))
    }

    /// Whether a digest is present and need not be sent again yet.
    pub(crate) fn is_recent<C: Clock>(&self, clock: &C) -> bool {
        self.digest(clock).is_some_and(|(_, age)| age < REFRESH_INTERVAL)
    }

    /// Whether the leader is to be called for a digest now; notes that it is. It is
    /// called only while the last digest shows contention.
    pub(crate) fn is_call_due<C: Clock>(&mut self, clock: &C) -> bool {
        let called = self.called.is_none_or(|at| at.age(clock) >= REFRESH_INTERVAL);
        let is_due = self.digest.is_some() && !self.is_recent(clock) && called;
        if is_due {
            self.called = Some(DualInstant::now(clock));
        }
        is_due
    }
}
