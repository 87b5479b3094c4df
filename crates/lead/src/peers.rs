//! Calls to peers.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;

use crate::host::lock;
use crate::messages::{Ack, StoreAnswer, StoreQuery};
use crate::{Host, Platform};

/// Time limit for a call to a peer.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without an answer of the store after which a peer counts as cut off
/// from it.
const STORE_LOST_AFTER: Duration = Duration::from_millis(1500);
/// Time without an answer of the store after which a host sees an outage that its leader
/// sees too. A store that answers slowly or loses answers is shorter silent.
const SHARED_OUTAGE_MIN: Duration = Duration::from_millis(700);
/// Maximum size of a message between peers.
pub(crate) const PEER_MESSAGE_MAX_BYTES: usize = 2 * 1024 * 1024;

impl<P: Platform, C: Clock> Host<P, C> {
    /// Sends a message to a peer and returns its answer.
    pub(crate) async fn ask_peer<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        name: &str,
        message: &Q,
    ) -> Result<A, vg_net::Error> {
        let url = format!("http://{addr}/{name}");
        let answer = self
            .inner
            .peers
            .post_msgpack(&url, message, PEER_TIMEOUT, PEER_MESSAGE_MAX_BYTES)
            .await;
        if answer.is_ok() {
            lock(&self.inner.members).record_answer(DualInstant::now(&self.inner.clock));
        }
        answer
    }

    /// Notifies the leader of a durable change to a job. Does not wait for the
    /// answer: if the message is lost, the leader sees the change in the store. The
    /// answer tells the load of contended pools if `wants_load`.
    pub(crate) fn notify_leader<Q: Serialize + Send + Sync + 'static>(
        &self,
        name: &'static str,
        job: JobId,
        message: Q,
        wants_load: bool,
    ) {
        let Some(addr) = self.leader_addr() else { return };
        let host = self.clone();
        let sent_at = DualInstant::now(&self.inner.clock);
        tokio::spawn(async move {
            let sent: Result<Ack, _> = host.ask_peer(addr, name, &message).await;
            match sent {
                Ok(ack) => {
                    host.refuse_jobs_for(ack.refuse_for);
                    if wants_load {
                        lock(&host.inner.load).take(ack.load, sent_at);
                    }
                }
                Err(error) => log::debug!(
                    target: "peers", "`{name}` of job {job} did not reach the leader: {error}"
                ),
            }
        });
    }

    /// Whether there are peers and each of them answers that it does not reach the store.
    /// One that is cut off from this host may reach it, and lead. Only the leader asks, which
    /// tells its peers that it is alive.
    pub(crate) async fn peers_lost_store(&self) -> bool {
        let own = self.inner.options.peer_addr;
        let peers = lock(&self.inner.members).others_or_lapsed(own, &self.inner.clock);
        let query = StoreQuery { leader: Some(self.inner.nonce) };
        let queries = peers.iter().map(|&addr| self.ask_peer(addr, "store", &query));
        let answers: Vec<Result<StoreAnswer, _>> = futures_util::future::join_all(queries).await;
        let has_lost = |answer: &StoreAnswer| answer.silent_for > STORE_LOST_AFTER;
        !answers.is_empty() && answers.iter().all(|answer| answer.as_ref().is_ok_and(has_lost))
    }

    /// Answers a leader that does not reach the store, and notes that it is alive if this
    /// host does not reach the store either: the two see the same outage.
    pub(crate) fn answer_store_query(&self, query: &StoreQuery) -> StoreAnswer {
        let silent_for = self.store().silence();
        if let Some(nonce) = query.leader
            && silent_for >= SHARED_OUTAGE_MIN
        {
            let now = DualInstant::now(&self.inner.clock);
            lock(&self.inner.members).hear_leader(nonce, now);
        }
        StoreAnswer { silent_for }
    }

    /// Returns the leader's address if another host leads.
    pub(crate) fn leader_addr(&self) -> Option<SocketAddr> {
        let members = lock(&self.inner.members);
        let (leader, _) = members.leader.as_ref()?;
        (leader.nonce != self.inner.nonce).then_some(leader.peer_addr)
    }

    /// Returns up to `limit` peers: the leader first, the others in random
    /// order.
    pub(crate) fn pick_peers(&self, limit: usize) -> Vec<SocketAddr> {
        let mut peers = lock(&self.inner.members).others(self.inner.options.peer_addr);
        if let Some(leader) = self.leader_addr()
            && let Some(at) = peers.iter().position(|&each| each == leader)
        {
            peers.swap(0, at);
            peers[1..].shuffle(&mut rand::rng());
        } else {
            peers.shuffle(&mut rand::rng());
        }
        peers.truncate(limit);
        peers
    }
}
