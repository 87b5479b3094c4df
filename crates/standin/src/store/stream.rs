//! The lines of a watch.

use std::collections::VecDeque;
use std::io;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::Serialize;
use vg_store::wire::{Base64, EventKind, Int64, KeyValue, StreamItem, WatchEvent, WatchResponse};
use vg_store::{Entry, Error, Key, StoreRevision, Watch, WatchBatch};

use crate::store::convert::header;

/// Lines still to be sent, and the watch that gives more.
struct Lines<W> {
    ready: VecDeque<WatchResponse>,
    watch: Option<W>,
}

/// Turns an opened watch into lines of JSON.
pub(crate) fn lines<W: Watch + 'static>(
    opened: Result<W, Error>,
    revision: StoreRevision,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let created =
        WatchResponse { header: header(revision), created: true, ..WatchResponse::default() };
    let mut state = Lines { ready: VecDeque::from([created]), watch: None };
    match opened {
        Ok(watch) => state.watch = Some(watch),
        Err(error) => state.ready.extend(canceled(&error)),
    }
    stream::unfold(state, next)
}

async fn next<W: Watch>(mut state: Lines<W>) -> Option<(Result<Bytes, io::Error>, Lines<W>)> {
    if let Some(response) = state.ready.pop_front() {
        return Some((line(&StreamItem::Result(response)), state));
    }
    let watch = state.watch.as_mut()?;
    match watch.next().await {
        Ok(batch) => {
            let line = line(&StreamItem::Result(response(batch)));
            Some((line, state))
        }
        Err(error) => {
            state.watch = None;
            match canceled(&error) {
                Some(response) => Some((line(&StreamItem::Result(response)), state)),
                None => Some((Err(io::Error::other(error)), state)),
            }
        }
    }
}

/// Returns the last message of a compacted watch; other errors tear the stream.
fn canceled(error: &Error) -> Option<WatchResponse> {
    let Error::Compacted { oldest } = error else { return None };
    Some(WatchResponse {
        canceled: true,
        compact_revision: Int64(oldest.0),
        cancel_reason: error.to_string(),
        ..WatchResponse::default()
    })
}

fn response(batch: WatchBatch) -> WatchResponse {
    let revision = batch.revision;
    let event = |change| event(change, revision);
    let events = batch.changes.into_iter().map(event).collect();
    WatchResponse { header: header(revision), events, ..WatchResponse::default() }
}

/// A deletion carries the batch's revision, which is not below its own.
fn event((key, entry): (Key, Option<Entry>), revision: StoreRevision) -> WatchEvent {
    match entry {
        Some(entry) => WatchEvent { kind: EventKind::Put, kv: entry.into() },
        None => {
            let kv = KeyValue {
                key: Base64::from_text(&key.0),
                mod_revision: Int64(revision.0),
                ..KeyValue::default()
            };
            WatchEvent { kind: EventKind::Delete, kv }
        }
    }
}

fn line<T: Serialize>(item: &StreamItem<T>) -> Result<Bytes, io::Error> {
    let mut line = serde_json::to_vec(item).map_err(io::Error::other)?;
    line.push(b'\n');
    Ok(line.into())
}
