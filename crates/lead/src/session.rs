//! The host's lease in the store, and the election of a leader.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::FencingToken;
use vg_net::from_msgpack;
use vg_store::{Entry, Error, LeaseId, Store, StoreRevision, Txn, TxnOutcome};

use crate::codec::encode;
use crate::dual_instant::DualInstant;
use crate::host::lock;
use crate::keys::{self, HostValue, LEADER_KEY, LeaderValue, TERM_KEY};
use crate::leader::lead;
use crate::{Host, Platform};

/// Delay after a failed call for the lease.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Maximum time between two checks for a vacant leadership, and between two
/// checks of a stopping host.
const ELECTION_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum random delay before a host claims the leadership, so that not all
/// hosts claim it at once.
const CLAIM_JITTER_MAX_MS: u64 = 12;

/// Keeps the host's lease alive, and with it the host's record among the
/// members.
pub(crate) async fn maintain_lease<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        if host.is_stopping() {
            tokio::time::sleep(ELECTION_INTERVAL).await;
            continue;
        }
        let sent = DualInstant::now(&host.inner.clock);
        match host.store().grant(host.inner.options.lease_ttl()).await {
            Ok(lease) => {
                *lock(&host.inner.lease_confirmed) = Some(sent);
                host.record_store_answer();
                if host.register_host(lease).await.is_ok() {
                    *lock(&host.inner.lease) = Some(lease);
                    host.inner.members_changed.notify_waiters();
                    host.renew(lease).await;
                    *lock(&host.inner.lease) = None;
                }
            }
            Err(error) => {
                log::debug!(target: "store", "the store granted no lease: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Claims the leadership whenever it is vacant, and leads after a successful
/// claim.
pub(crate) async fn run_election<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        let changed = host.inner.members_changed.notified();
        if let Some(vacancy) = host.vacancy() {
            let jitter = rand::Rng::random_range(&mut rand::rng(), 0..=CLAIM_JITTER_MAX_MS);
            tokio::time::sleep(Duration::from_millis(jitter)).await;
            if let Some(token) = host.claim(vacancy).await {
                lead(&host, token).await;
                continue;
            }
        }
        let _ = tokio::time::timeout(ELECTION_INTERVAL, changed).await;
    }
}

/// A leadership that can be claimed.
#[derive(Debug, Clone, Copy)]
struct Vacancy {
    lease: LeaseId,
    /// Revision of the leader key if this host wrote it; `None` if there is no
    /// leader key.
    leader: Option<StoreRevision>,
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Writes the record of this host under its lease.
    async fn register_host(&self, lease: LeaseId) -> Result<(), Error> {
        let options = &self.inner.options;
        let value = HostValue {
            peer_addr: options.peer_addr,
            zone: options.zone.clone(),
            capacity: options.capacity,
        };
        let Some(bytes) = encode(&value) else { return Ok(()) };
        let txn = Txn::new().put_leased(keys::host(&options.node), bytes, lease);
        self.store().commit(txn).await.map(|_| ())
    }

    /// Renews the lease until it has expired or a planned stop begins.
    async fn renew(&self, lease: LeaseId) {
        let period = self.inner.options.renewal_period();
        loop {
            tokio::time::sleep(period).await;
            loop {
                if self.is_stopping() {
                    return;
                }
                let sent = DualInstant::now(&self.inner.clock);
                match self.store().renew(lease).await {
                    Ok(_) => {
                        *lock(&self.inner.lease_confirmed) = Some(sent);
                        self.record_store_answer();
                        break;
                    }
                    Err(Error::LeaseExpired) => return,
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
        }
    }

    /// Whether the store confirmed the lease recently enough that it is still
    /// valid.
    pub(crate) fn is_lease_valid(&self) -> bool {
        self.expired_for().is_zero()
    }

    /// Returns for how long the lease may have been expired; zero while it is
    /// valid.
    pub(crate) fn expired_for(&self) -> Duration {
        self.expired_for_ttl(self.inner.options.lease_ttl())
    }

    /// Returns for how long a lease with time to live `ttl` would have been
    /// expired.
    pub(crate) fn expired_for_ttl(&self, ttl: Duration) -> Duration {
        let lease_confirmed = *lock(&self.inner.lease_confirmed);
        let age = lease_confirmed.map_or(Duration::MAX, |at| at.age(&self.inner.clock));
        age.saturating_sub(ttl)
    }

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

    /// Claims the leadership. The fencing token is the revision of the term.
    async fn claim(&self, vacancy: Vacancy) -> Option<FencingToken> {
        let value = self.encode_leader()?;
        let term = match self.store().get(&TERM_KEY.into()).await {
            Ok(term) => term,
            Err(error) => {
                log::debug!(target: "store", "cannot read the term: {error}");
                return None;
            }
        };
        if vacancy.leader.is_some()
            && let Some(term) = &term
            && from_msgpack(&term.value)
                .is_ok_and(|value: LeaderValue| value.nonce == self.inner.nonce)
        {
            // An earlier claim whose answer was lost has taken effect.
            return Some(FencingToken(term.modified.0 as u64));
        }
        let txn = Txn::new()
            .expect(LEADER_KEY, vacancy.leader)
            .expect(TERM_KEY, term.map(|term| term.modified))
            .put_leased(LEADER_KEY, value.clone(), vacancy.lease)
            .put(TERM_KEY, value);
        match self.store().commit(txn).await {
            Ok(TxnOutcome::Committed { revision }) => Some(FencingToken(revision.0 as u64)),
            Ok(TxnOutcome::Conflict { .. }) => None,
            Err(error) => {
                let fields = [Field::new("call", "claim"), Field::new("cause", error)];
                self.record(Code::StoreFailed, fields);
                None
            }
        }
    }

    /// Writes the leader key again after its lease expired. If the transaction
    /// is refused, returns the entries that it found: another host may lead.
    pub(crate) async fn republish_leader(
        &self,
        token: FencingToken,
    ) -> Result<Option<Vec<Entry>>, Error> {
        let (Some(value), Some(lease)) = (self.encode_leader(), *lock(&self.inner.lease)) else {
            return Ok(None);
        };
        let txn = Txn::new()
            .expect(LEADER_KEY, None)
            .expect(TERM_KEY, Some(StoreRevision(token.0 as i64)))
            .put_leased(LEADER_KEY, value, lease);
        match self.store().commit(txn).await? {
            TxnOutcome::Committed { .. } => Ok(None),
            TxnOutcome::Conflict { found } => Ok(Some(found)),
        }
    }
}
