//! The host's lease, and the election of a leader.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::FencingToken;
use vg_net::from_msgpack;
use vg_store::{Entry, Error, LeaseId, Store, StoreRevision, Txn, TxnOutcome};

use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, HostValue, LEADER, LeaderValue, TERM};
use crate::leader::lead;
use crate::mark::Mark;
use crate::{Host, Platform};

/// Pause after a failed call for the lease.
const RETRY: Duration = Duration::from_millis(120);
/// Longest time between two looks at who leads.
const LOOK: Duration = Duration::from_millis(300);
/// Most time by which hosts delay their claims, so that not all come at once.
const SPREAD_MS: u64 = 12;

/// Keeps the host's lease, and with it its place among the members.
pub(crate) async fn keep<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        if host.is_stopping() {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let sent = Mark::now(&host.inner.clock);
        match host.store().grant(host.inner.options.lease()).await {
            Ok(lease) => {
                *lock(&host.inner.verified) = Some(sent);
                host.note_store();
                if host.join(lease).await.is_ok() {
                    *lock(&host.inner.lease) = Some(lease);
                    host.inner.members_changed.notify_waiters();
                    host.renew(lease).await;
                    *lock(&host.inner.lease) = None;
                }
            }
            Err(error) => {
                log::debug!(target: "store", "no lease: {error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Tries to lead whenever nobody does.
pub(crate) async fn elect<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        let changed = host.inner.members_changed.notified();
        if let Some(claim) = host.vacancy() {
            let spread = rand::Rng::random_range(&mut rand::rng(), 0..=SPREAD_MS);
            tokio::time::sleep(Duration::from_millis(spread)).await;
            if let Some(fence) = host.claim(claim).await {
                lead(&host, fence).await;
                continue;
            }
        }
        let _ = tokio::time::timeout(LOOK, changed).await;
    }
}

/// A leadership that can be taken.
#[derive(Debug, Clone, Copy)]
struct Vacancy {
    lease: LeaseId,
    /// Revision of the key of this host's last start; none if there is no key.
    leader: Option<StoreRevision>,
}

impl<P: Platform, C: Clock> Host<P, C> {
    async fn join(&self, lease: LeaseId) -> Result<(), Error> {
        let options = &self.inner.options;
        let value = HostValue { peer_addr: options.peer_addr, zone: options.zone.clone() };
        let Some(bytes) = encode(&value) else { return Ok(()) };
        let txn = Txn::new().put_leased(keys::host(&options.node), bytes, lease);
        self.store().commit(txn).await.map(|_| ())
    }

    /// Renews the lease until it has lapsed or a stop begins.
    async fn renew(&self, lease: LeaseId) {
        let period = self.inner.options.renewal_period();
        loop {
            tokio::time::sleep(period).await;
            loop {
                if self.is_stopping() {
                    return;
                }
                let sent = Mark::now(&self.inner.clock);
                match self.store().renew(lease).await {
                    Ok(_) => {
                        *lock(&self.inner.verified) = Some(sent);
                        self.note_store();
                        break;
                    }
                    Err(Error::LeaseExpired) => return,
                    Err(_) => tokio::time::sleep(RETRY).await,
                }
            }
        }
    }

    /// Whether the store granted the lease so lately that it still holds.
    pub(crate) fn is_verified(&self) -> bool {
        self.unverified_for().is_zero()
    }

    /// Returns for how long the lease may have lapsed.
    pub(crate) fn unverified_for(&self) -> Duration {
        self.unverified_for_lease(self.inner.options.lease())
    }

    /// Returns for how long a lease of `lease` would have lapsed.
    pub(crate) fn unverified_for_lease(&self, lease: Duration) -> Duration {
        let verified = *lock(&self.inner.verified);
        let age = verified.map_or(Duration::MAX, |mark| mark.age(&self.inner.clock));
        age.saturating_sub(lease)
    }

    /// Returns the leadership if nobody has it, or an earlier start of this
    /// process that can't act any more.
    fn vacancy(&self) -> Option<Vacancy> {
        if self.is_stopping() || self.inner.content.borrow().is_none() || !self.is_verified() {
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

    pub(crate) fn leader_value(&self) -> Option<bytes::Bytes> {
        let options = &self.inner.options;
        let value = LeaderValue {
            node: options.node.clone(),
            peer_addr: options.peer_addr,
            nonce: self.inner.nonce,
        };
        encode(&value)
    }

    /// Takes the leadership; the revision of the term is the fence.
    async fn claim(&self, vacancy: Vacancy) -> Option<FencingToken> {
        let value = self.leader_value()?;
        let term = match self.store().get(&TERM.into()).await {
            Ok(term) => term,
            Err(error) => {
                log::debug!(target: "store", "no term: {error}");
                return None;
            }
        };
        if vacancy.leader.is_some()
            && let Some(term) = &term
            && from_msgpack(&term.value)
                .is_ok_and(|value: LeaderValue| value.nonce == self.inner.nonce)
        {
            // A claim whose answer was lost has taken effect.
            return Some(FencingToken(term.modified.0 as u64));
        }
        let txn = Txn::new()
            .expect(LEADER, vacancy.leader)
            .expect(TERM, term.map(|term| term.modified))
            .put_leased(LEADER, value.clone(), vacancy.lease)
            .put(TERM, value);
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

    /// Shows again who leads, after the lease of the key has lapsed. Returns
    /// what a refused transaction found: another host may lead.
    pub(crate) async fn show_leader(
        &self,
        fence: FencingToken,
    ) -> Result<Option<Vec<Entry>>, Error> {
        let (Some(value), Some(lease)) = (self.leader_value(), *lock(&self.inner.lease)) else {
            return Ok(None);
        };
        let txn = Txn::new()
            .expect(LEADER, None)
            .expect(TERM, Some(StoreRevision(fence.0 as i64)))
            .put_leased(LEADER, value, lease);
        match self.store().commit(txn).await? {
            TxnOutcome::Committed { .. } => Ok(None),
            TxnOutcome::Conflict { found } => Ok(Some(found)),
        }
    }
}
