//! Following prefixes of the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{OperatorConfig, Wave};
use vg_store::{Entry, Error, Key, Listing, Store, StoreRevision, Watch, WatchBatch};

use crate::host::lock;
use crate::keys::LIVE;
use crate::messages::{ContentAnswer, ContentQuery};
use crate::{Host, OperatorItem, Platform};

/// Pause before a prefix is listed again after an error.
const RETRY: Duration = Duration::from_millis(150);
/// Time in which changes gather after some have come.
const GATHER: Duration = Duration::from_millis(60);
/// Pause between two questions to peers while the store is lost.
const ASK_PEERS: Duration = Duration::from_millis(400);

/// What following a prefix shows.
#[derive(Debug)]
pub(crate) enum Seen {
    /// All entries.
    Listed(Listing),
    /// Changes since.
    Changed(WatchBatch),
}

/// Follows a prefix and hands on what it shows, for ever.
pub(crate) async fn follow<P: Platform, C: Clock>(
    host: &Host<P, C>,
    prefix: &Key,
    mut see: impl FnMut(Seen),
) {
    let mut failing = false;
    loop {
        let error = match host.store().range(prefix).await {
            Ok(listing) => {
                host.note_store();
                if std::mem::take(&mut failing) {
                    host.record(Code::StoreBack, [Field::new("prefix", prefix)]);
                }
                let from = StoreRevision(listing.revision.0 + 1);
                see(Seen::Listed(listing));
                watch(host, prefix, from, &mut see).await
            }
            Err(error) => error,
        };
        if !matches!(error, Error::Compacted { .. }) && !std::mem::replace(&mut failing, true) {
            let fields = [Field::new("prefix", prefix), Field::new("cause", error)];
            host.record(Code::StoreFailed, fields);
        }
        tokio::time::sleep(RETRY).await;
    }
}

/// Follows a prefix from a revision until an error.
pub(crate) async fn watch<P: Platform, C: Clock>(
    host: &Host<P, C>,
    prefix: &Key,
    from: StoreRevision,
    see: &mut impl FnMut(Seen),
) -> Error {
    let mut watch = match host.store().watch(prefix, from).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        match watch.next().await {
            Ok(batch) => {
                host.note_store();
                if !batch.changes.is_empty() {
                    see(Seen::Changed(batch));
                    // Each answer is a call: changes that come together share
                    // one.
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(error) => return error,
        }
    }
}

/// Follows what operators write.
pub(crate) async fn operators<P: Platform, C: Clock>(host: Host<P, C>) {
    let prefix = host.inner.platform.layout().operator_prefix.clone();
    follow(&host, &prefix, |seen| match seen {
        Seen::Listed(listing) => listing.entries.iter().for_each(|entry| host.take_operator(entry)),
        Seen::Changed(batch) => {
            batch.changes.iter().filter_map(|(_, entry)| entry.as_ref()).for_each(|entry| {
                host.take_operator(entry);
            });
        }
    })
    .await;
}

/// Follows which hosts are alive, and which one leads.
pub(crate) async fn members<P: Platform, C: Clock>(host: Host<P, C>) {
    follow(&host, &Key::from(LIVE), |seen| {
        {
            let mut members = lock(&host.inner.members);
            match &seen {
                Seen::Listed(listing) => members.list(listing),
                Seen::Changed(batch) => members.change(batch),
            }
        }
        host.inner.members_changed.notify_waiters();
    })
    .await;
}

/// Asks peers for the operators' configuration while the store is lost: peers
/// may still reach it.
pub(crate) async fn content_of_peers<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        tokio::time::sleep(ASK_PEERS).await;
        if host.hears_store() {
            continue;
        }
        let version = host.content().map_or(0, |content| content.version);
        for addr in host.some_peers(2) {
            let answer: Result<ContentAnswer, _> =
                host.ask_peer(addr, "content", &ContentQuery { version }).await;
            if let Ok(ContentAnswer { key, value: Some(value) }) = answer {
                host.take_content_item(&Key(key), &value);
            }
        }
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    fn take_operator(&self, entry: &Entry) {
        self.take_content_item(&entry.key, &entry.value);
    }

    fn take_content_item(&self, key: &Key, value: &bytes::Bytes) {
        match self.inner.platform.parse_operator_item(key, value) {
            Ok(OperatorItem::Content(content)) => self.set_content(key, value, *content),
            Ok(OperatorItem::Wave(wave)) => self.add_wave(wave),
            Ok(OperatorItem::Other) => {}
            Err(error) => {
                let fields = [Field::new("key", key), Field::new("cause", error)];
                self.record(Code::ValueUnreadable, fields);
            }
        }
    }

    /// Puts a version in force unless a newer one is.
    fn set_content(&self, key: &Key, value: &bytes::Bytes, content: OperatorConfig) {
        let version = content.version;
        let fields = [
            Field::new("version", version),
            Field::new("queues", content.queues.len()),
            Field::new("keys", content.keys.len()),
        ];
        let newer = self.inner.content.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|current| current.version < version);
            if newer {
                *current = Some(Arc::new(content));
            }
            newer
        });
        if newer {
            *lock(&self.inner.raw) = Some((key.0.clone(), value.clone()));
            self.record(Code::RevisionInForce, fields);
        }
    }

    fn add_wave(&self, wave: Wave) {
        self.inner.waves.send_if_modified(|waves: &mut BTreeMap<u64, Wave>| {
            waves.insert(wave.number, wave.clone()).is_none()
        });
    }
}
