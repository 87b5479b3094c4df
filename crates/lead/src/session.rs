//! The host's lease in the store and the keys that it holds.

use vg_base::prelude::*;
use vg_flow::FencingToken;
use vg_store::{Entry, Error, LeaseId, Store, StoreRevision, Txn, TxnOutcome};

use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, HostValue, LEADER_KEY, TERM_KEY};
use crate::{Host, Platform};

/// Delay after a failed call for the lease.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Interval at which a stopping host is checked.
const STOPPING_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps the host's lease alive, and with it the host's record among the
/// members.
pub(crate) async fn maintain_lease<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        if host.is_stopping() {
            tokio::time::sleep(STOPPING_INTERVAL).await;
            continue;
        }
        let sent = DualInstant::now(&host.inner.clock);
        match host.store().grant(host.inner.options.lease_ttl()).await {
            Ok(lease) => {
                *lock(&host.inner.lease_confirmed) = Some(sent);
                match host.register_host(lease).await {
                    Ok(()) => {
                        *lock(&host.inner.lease) = Some(lease);
                        host.inner.members_changed.notify_waiters();
                        host.renew(lease).await;
                        *lock(&host.inner.lease) = None;
                    }
                    Err(error) => {
                        log::debug!(target: "store", "cannot write the host's record: {error}");
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
            Err(error) => {
                log::debug!(target: "store", "the store granted no lease: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
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
