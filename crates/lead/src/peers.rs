//! Calls to peers.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;

use crate::host::lock;
use crate::mark::Mark;
use crate::messages::{StoreAnswer, StoreQuery, Taken};
use crate::{Host, Platform};

/// Time for a peer to answer.
pub(crate) const PEER_LIMIT: Duration = Duration::from_millis(700);
/// Silence of the store after which it counts as away.
const STORE_AWAY: Duration = Duration::from_millis(1500);
/// Longest message of a peer.
pub(crate) const PEER_BYTES: usize = 2 * 1024 * 1024;

impl<P: Platform, C: Clock> Host<P, C> {
    /// Sends a message to a peer and reads its answer.
    pub(crate) async fn ask_peer<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        name: &str,
        message: &Q,
    ) -> Result<A, vg_net::Error> {
        let url = format!("http://{addr}/{name}");
        let answer = self.inner.peers.exchange(&url, message, PEER_LIMIT, PEER_BYTES).await;
        if answer.is_ok() {
            lock(&self.inner.members).note_answer(Mark::now(&self.inner.clock));
        }
        answer
    }

    /// Tells the leader of a job's change that is durable. If the message is
    /// lost the leader sees the change in the store.
    pub(crate) fn tell_leader<Q: Serialize + Send + Sync + 'static>(
        &self,
        name: &'static str,
        job: JobId,
        message: Q,
    ) {
        let Some(addr) = self.leader_addr() else { return };
        let host = self.clone();
        tokio::spawn(async move {
            let told: Result<Taken, _> = host.ask_peer(addr, name, &message).await;
            if let Err(error) = told {
                log::debug!(target: "peers", "job {job}: `{name}` did not reach the leader: {error}");
            }
        });
    }

    /// Whether some peers answer and all of those have lost the store.
    pub(crate) async fn peers_lost_store(&self) -> bool {
        let peers = self.some_peers(usize::MAX);
        let asked = peers.iter().map(|&addr| self.ask_peer(addr, "store", &StoreQuery {}));
        let answers: Vec<Result<StoreAnswer, _>> = futures_util::future::join_all(asked).await;
        let mut heard = answers.into_iter().flatten().peekable();
        heard.peek().is_some() && heard.all(|answer| answer.silent_for > STORE_AWAY)
    }

    /// Returns the leader's address if another host leads.
    pub(crate) fn leader_addr(&self) -> Option<SocketAddr> {
        let members = lock(&self.inner.members);
        let (leader, _) = members.leader.as_ref()?;
        (leader.nonce != self.inner.nonce).then_some(leader.peer_addr)
    }

    /// Returns up to `most` peers, the leader first, others in random order.
    pub(crate) fn some_peers(&self, most: usize) -> Vec<SocketAddr> {
        let mut peers = lock(&self.inner.members).others(self.inner.options.peer_addr);
        if let Some(leader) = self.leader_addr()
            && let Some(at) = peers.iter().position(|&each| each == leader)
        {
            peers.swap(0, at);
            peers[1..].shuffle(&mut rand::rng());
        } else {
            peers.shuffle(&mut rand::rng());
        }
        peers.truncate(most);
        peers
    }
}
