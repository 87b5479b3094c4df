//! Watches key prefixes of the store and applies the changes to the host's
//! memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{OperatorConfig, Wave};
use vg_store::{Entry, Error, Key, Listing, Store, StoreRevision, Watch, WatchBatch};

use crate::host::lock;
use crate::keys::LIVE_PREFIX;
use crate::members::LAPSED_TIME;
use crate::messages::{ConfigAnswer, ConfigQuery};
use crate::zone_drains::DrainChange;
use crate::{Host, OperatorItem, Platform};

/// Delay before a prefix is listed again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay after a batch of changes, in which further changes accumulate.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// Interval at which peers are asked for the configuration and the drained zones while
/// the store is unreachable.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// An update of a watched prefix.
#[derive(Debug)]
pub(crate) enum PrefixUpdate {
    /// All entries under the prefix, which replace earlier ones.
    Listed(Listing),
    /// Changes since the previous update.
    Changed(WatchBatch),
}

/// Lists a prefix, watches it from there on and passes each update to
/// `on_update`. Never returns; after an error the prefix is listed again.
pub(crate) async fn follow<P: Platform, C: Clock>(
    host: &Host<P, C>,
    prefix: &Key,
    mut on_update: impl FnMut(PrefixUpdate),
) {
    let mut failing = false;
    loop {
        let error = match host.store().range(prefix).await {
            Ok(listing) => {
                if std::mem::take(&mut failing) {
                    host.record(Code::StoreRecovered, [Field::new("prefix", prefix)]);
                }
                let from = StoreRevision(listing.revision.0 + 1);
                on_update(PrefixUpdate::Listed(listing));
                watch(host, prefix, from, &mut on_update).await
            }
            Err(error) => error,
        };
        if !matches!(error, Error::Compacted { .. }) && !std::mem::replace(&mut failing, true) {
            let fields = [Field::new("prefix", prefix), Field::new("cause", error)];
            host.record(Code::StoreFailed, fields);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Watches a prefix from a revision on. Returns the error that ended the watch.
pub(crate) async fn watch<P: Platform, C: Clock>(
    host: &Host<P, C>,
    prefix: &Key,
    from: StoreRevision,
    on_update: &mut impl FnMut(PrefixUpdate),
) -> Error {
    let mut watch = match host.store().watch(prefix, from).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        match watch.next().await {
            Ok(batch) => {
                if !batch.changes.is_empty() {
                    on_update(PrefixUpdate::Changed(batch));
                    // The store answers each batch with one call; waiting lets
                    // changes that arrive close together share a call.
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            Err(error) => return error,
        }
    }
}

/// Follows the items that operators write: the configuration, maintenance waves and
/// requests to drain zones.
pub(crate) async fn operator_items<P: Platform, C: Clock>(host: Host<P, C>) {
    let prefix = host.inner.platform.layout().operator_prefix.clone();
    follow(&host, &prefix, |update| match update {
        PrefixUpdate::Listed(listing) => host.apply_operator_listing(&listing),
        PrefixUpdate::Changed(batch) => host.apply_operator_changes(&batch),
    })
    .await;
}

/// Follows which hosts are alive and which of them leads.
pub(crate) async fn members<P: Platform, C: Clock>(host: Host<P, C>) {
    follow(&host, &Key::from(LIVE_PREFIX), |update| {
        {
            let mut members = lock(&host.inner.members);
            if host.store().since_outage().is_some_and(|age| age < LAPSED_TIME) {
                members.keep_lapsed(&host.inner.clock);
            }
            match &update {
                PrefixUpdate::Listed(listing) => members.replace_all(listing),
                PrefixUpdate::Changed(batch) => members.apply(batch),
            }
        }
        host.inner.members_changed.notify_waiters();
    })
    .await;
}

/// Asks peers for the operators' configuration and the drained zones while the store is
/// unreachable from this host: peers may still reach it.
pub(crate) async fn fetch_peer_config<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
        if host.is_store_reachable() {
            continue;
        }
        let version = host.config().map_or(0, |config| config.version);
        for addr in host.pick_peers(2) {
            let answer: Result<ConfigAnswer, _> =
                host.ask_peer(addr, "content", &ConfigQuery { version }).await;
            let Ok(answer) = answer else { continue };
            if let Some(value) = answer.value {
                host.apply_operator_item(&Key(answer.key), &value);
            }
            if let Some(drains) = answer.drains {
                host.replace_drains(drains.zones, StoreRevision(drains.revision));
            }
        }
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Applies all items that operators wrote.
    fn apply_operator_listing(&self, listing: &Listing) {
        let drained = listing.entries.iter().filter_map(|entry| self.apply_operator_entry(entry));
        let drained: BTreeSet<_> = drained.collect();
        self.replace_drains(drained, listing.revision);
    }

    /// Applies items that operators wrote or deleted.
    fn apply_operator_changes(&self, batch: &WatchBatch) {
        let drain_change = |(key, entry): &(Key, Option<Entry>)| match entry {
            Some(entry) => self.apply_operator_entry(entry).map(DrainChange::Requested),
            None => self.inner.platform.removed_drain(key).map(DrainChange::Withdrawn),
        };
        let changes: Vec<_> = batch.changes.iter().filter_map(drain_change).collect();
        self.change_drains(&changes, batch.revision);
    }

    fn apply_operator_entry(&self, entry: &Entry) -> Option<ZoneId> {
        self.apply_operator_item(&entry.key, &entry.value)
    }

    /// Applies an item that operators wrote. A malformed item is recorded and
    /// otherwise ignored. If the item requests the drain of a zone, that zone is
    /// returned: the caller knows the revision, which decides whether it is in force.
    fn apply_operator_item(&self, key: &Key, value: &bytes::Bytes) -> Option<ZoneId> {
        match self.inner.platform.parse_operator_item(key, value) {
            Ok(OperatorItem::Config(config)) => self.set_config(key, value, *config),
            Ok(OperatorItem::Wave(wave)) => self.add_wave(wave),
            Ok(OperatorItem::ZoneDrain(zone)) => return Some(zone),
            Ok(OperatorItem::Other) => {}
            Err(error) => {
                let fields = [Field::new("key", key), Field::new("cause", error)];
                self.record(Code::ValueUnreadable, fields);
            }
        }
        None
    }

    /// Puts a version of the configuration in force unless the current one is
    /// at least as new.
    fn set_config(&self, key: &Key, value: &bytes::Bytes, config: OperatorConfig) {
        let version = config.version;
        let fields = [
            Field::new("version", version),
            Field::new("queues", config.present_queues().len()),
            Field::new("keys", config.keys.len()),
        ];
        let newer = self.inner.config.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|current| current.version < version);
            if newer {
                *current = Some(Arc::new(config));
            }
            newer
        });
        if newer {
            *lock(&self.inner.raw_config) = Some((key.0.clone(), value.clone()));
            self.record(Code::RevisionInForce, fields);
        }
    }

    /// Adds a maintenance wave, or replaces the wave of the same number. Only a
    /// new number wakes the receivers.
    fn add_wave(&self, wave: Wave) {
        self.inner.waves.send_if_modified(|waves: &mut BTreeMap<u64, Wave>| {
            waves.insert(wave.number, wave.clone()).is_none()
        });
    }
}
