//! The receipt of a running call at the owner of its pool.

use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_route::{Answer, KeyedRequest, ReceiptKey};

use crate::receipts::{MIRROR_MAX_BYTES, MIRROR_TIMEOUT, MirrorOutcome, ReceiptTable};

/// The receipt of a call that runs at this owner.
///
/// If the guard is dropped, the outcome is recorded as *not run* before the call is
/// written and as *unknown* after that.
#[derive(Debug)]
pub(crate) struct ReceiptGuard<C: Clock> {
    pub(super) table: ReceiptTable<C>,
    pub(super) request: KeyedRequest,
    pub(super) key: Option<ReceiptKey>,
    pub(super) written: bool,
    pub(super) mirror: Option<SocketAddr>,
    pub(super) client: vg_net::Client,
}

impl<C: Clock> ReceiptGuard<C> {
    /// Sets whether the call may have been written to an endpoint.
    pub(crate) fn set_written(&mut self, written: bool) {
        self.written = written;
    }

    /// Records the complete answer of the call, or `None` if it was too long to be
    /// stored.
    pub(crate) fn answered(mut self, answer: Option<Answer>) {
        self.finish(Outcome::Answered, answer);
    }

    /// Records the outcome, once, and notifies the peer that has a copy.
    fn finish(&mut self, outcome: Outcome, answer: Option<Answer>) {
        let Some(key) = self.key.take() else { return };
        let now = self.table.now();
        self.table.lock().finish(key, outcome, answer, now);
        let Some(addr) = self.mirror else { return };
        let (name, attempt) = (self.request.name.clone(), self.request.attempt);
        let resolved = MirrorOutcome { name, attempt, outcome };
        let client = self.client.clone();
        // The notification is best effort. The copy resolves itself as unknown after the
        // deadline.
        tokio::spawn(async move {
            let url = format!("http://{addr}/peer/receipts/settled");
            let _ = client
                .post_msgpack::<_, bool>(&url, &resolved, MIRROR_TIMEOUT, MIRROR_MAX_BYTES)
                .await;
        });
    }
}

impl<C: Clock> Drop for ReceiptGuard<C> {
    fn drop(&mut self) {
        let outcome = if self.written { Outcome::Unknown } else { Outcome::NotRun };
        self.finish(outcome, None);
    }
}
