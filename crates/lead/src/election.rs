//! The election of a leader: which host claims a vacant leadership, and when.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::FencingToken;
use vg_store::{LeaseId, Store, StoreRevision, Txn, TxnOutcome};

use crate::codec::encode;
use crate::host::lock;
use crate::keys::{LEADER_KEY, LeaderValue, TERM_KEY};
use crate::leader::lead;
use crate::{Host, Platform};

/// Maximum time between two checks for a vacant leadership.
const ELECTION_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum random delay before a host claims the leadership, so that not all
/// hosts claim it at once.
const CLAIM_JITTER_MAX_MS: u64 = 12;
/// Time for which a leadership is vacant before a host claims it although a
/// larger host is alive.
const SMALLER_HOST_DELAY: Duration = Duration::from_millis(600);
/// Time for which a leadership is vacant before a host claims it that gave it up
/// a short time ago.
const GAVE_UP_DELAY: Duration = Duration::from_millis(1500);
/// Time for which the leadership is left to a leader that was alive while neither it nor
/// this host reached the store. It has to write its key again after an outage in which all
/// leases ended; what it knows would be lost with the leadership.
const LEADER_RETURN_TIME: Duration = Duration::from_millis(1200);
/// Time for which a host counts as one that gave the leadership up.
const GAVE_UP_TIME: Duration = Duration::from_secs(10);

/// A leadership that can be claimed.
#[derive(Debug, Clone, Copy)]
struct Vacancy {
    lease: LeaseId,
    /// Revision of the leader key if this host wrote it; `None` if there is no
    /// leader key.
    leader: Option<StoreRevision>,
}

/// Claims the leadership whenever it is vacant, and leads after a successful
/// claim.
pub(crate) async fn run<P: Platform, C: Clock>(host: Host<P, C>) {
    let mut vacant_since: Option<Instant> = None;
    loop {
        let changed = host.inner.members_changed.notified();
        let mut wait = ELECTION_INTERVAL;
        if let Some(vacancy) = host.vacancy() {
            let now = host.inner.clock.now();
            let vacant_for = now.saturating_duration_since(*vacant_since.get_or_insert(now));
            let delay = host.claim_delay(&vacancy, vacant_for);
            if vacant_for >= delay {
                let jitter = rand::Rng::random_range(&mut rand::rng(), 0..=CLAIM_JITTER_MAX_MS);
                tokio::time::sleep(Duration::from_millis(jitter)).await;
                if let Some(token) = host.claim(vacancy).await {
                    lead(&host, token, vacancy.lease).await;
                    vacant_since = None;
                    continue;
                }
            } else {
                wait = wait.min(delay - vacant_for);
            }
        } else {
            vacant_since = None;
        }
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Returns the leadership if it can be claimed: there is no leader, or the
    /// leader key is of this host, which does not lead. An earlier start of the
    /// host wrote the key and cannot act any more, or this start wrote it, for
    /// instance by a claim whose answer was lost.
    fn vacancy(&self) -> Option<Vacancy> {
        if self.is_stopping() || self.inner.config.borrow().is_none() || !self.is_lease_valid() {
            return None;
        }
        let lease = (*lock(&self.inner.lease))?;
        let members = lock(&self.inner.members);
        if !members.listed {
            return None;
        }
        match &members.leader {
            None => Some(Vacancy { lease, leader: None }),
            Some((leader, revision)) if leader.node == self.inner.options.node => {
                Some(Vacancy { lease, leader: Some(*revision) })
            }
            Some(_) => None,
        }
    }

    /// Returns for how long a leadership has to be vacant before this host
    /// claims it. No other host can claim one whose key is of this host.
    fn claim_delay(&self, vacancy: &Vacancy, vacant_for: Duration) -> Duration {
        if vacancy.leader.is_some() {
            return Duration::ZERO;
        }
        let gave_up = *lock(&self.inner.gave_up);
        let recently = gave_up
            .is_some_and(|at| self.inner.clock.now().saturating_duration_since(at) < GAVE_UP_TIME);
        let delay = if recently {
            GAVE_UP_DELAY
        } else if self.has_larger_peer() {
            SMALLER_HOST_DELAY
        } else {
            Duration::ZERO
        };
        delay.max(self.leader_return_delay(vacant_for))
    }

    /// Returns for how long a leadership has to be vacant so that the leader that was alive
    /// while the store was away can have written its key again. A leader that was cut off
    /// or suspended was not heard.
    fn leader_return_delay(&self, vacant_for: Duration) -> Duration {
        let heard = lock(&self.inner.members).leader_heard(&self.inner.clock);
        let remaining = heard.map_or(Duration::ZERO, |age| LEADER_RETURN_TIME.saturating_sub(age));
        if remaining.is_zero() { Duration::ZERO } else { vacant_for + remaining }
    }

    /// Whether a host that is alive carries clearly more than this one.
    pub(crate) fn has_larger_peer(&self) -> bool {
        lock(&self.inner.members).has_larger(&self.inner.options.capacity)
    }

    /// Returns the encoded record that makes this host the leader.
    pub(crate) fn encode_leader(&self) -> Option<bytes::Bytes> {
        let options = &self.inner.options;
        let value = LeaderValue {
            node: options.node.clone(),
            peer_addr: options.peer_addr,
            nonce: self.inner.nonce,
        };
        encode(&value)
    }

    /// Claims the leadership. The fencing token is the revision of the term, which each
    /// claim writes anew: two leaderships never have the same token, even if a claim whose
    /// answer was lost has taken effect.
    async fn claim(&self, vacancy: Vacancy) -> Option<FencingToken> {
        let value = self.encode_leader()?;
        let term = match self.store().get(&TERM_KEY.into()).await {
            Ok(term) => term,
            Err(error) => {
                log::debug!(target: "store", "cannot read the term: {error}");
                return None;
            }
        };
        let earlier = term.map(|term| term.modified);
        let txn = Txn::new()
            .expect(LEADER_KEY, vacancy.leader)
            .expect(TERM_KEY, earlier)
            .put_leased(LEADER_KEY, value.clone(), vacancy.lease)
            .put(TERM_KEY, value);
        match self.store().commit(txn).await {
            Ok(TxnOutcome::Committed { revision }) => {
                let token = token_of(revision);
                let earlier = earlier.map(token_of).unwrap_or_default();
                let mut retained = lock(&self.inner.retained);
                *retained = retained.take().and_then(|work| work.succeed(earlier, token));
                Some(token)
            }
            Ok(TxnOutcome::Conflict { .. }) => None,
            Err(error) => {
                let fields = [Field::new("call", "claim"), Field::new("cause", error)];
                self.record(Code::StoreFailed, fields);
                None
            }
        }
    }
}

/// Returns the fencing token of the leader that wrote the term at a revision.
fn token_of(term: StoreRevision) -> FencingToken {
    FencingToken(term.0 as u64)
}
