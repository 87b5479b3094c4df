//! The response body of a watch: a stream of JSON messages, one per line.

use std::collections::VecDeque;
use std::io;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::Serialize;
use vg_store::wire::{Base64, EventKind, Int64, KeyValue, StreamItem, WatchEvent, WatchResponse};
use vg_store::{Entry, Error, Key, StoreRevision, Watch, WatchBatch};

use crate::store::convert::header;

/// Messages that are waiting to be sent, and the watch that delivers more.
struct WatchLines<W> {
    pending: VecDeque<WatchResponse>,
    watch: Option<W>,
}

/// Returns the lines of a watch. The first line confirms that the watch was created,
/// even if its start revision is compacted and the next line ends the watch.
pub(crate) fn watch_lines<W: Watch + 'static>(
    opened: Result<W, Error>,
    revision: StoreRevision,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let created =
        WatchResponse { header: header(revision), created: true, ..WatchResponse::default() };
    let mut state = WatchLines { pending: VecDeque::from([created]), watch: None };
    match opened {
        Ok(watch) => state.watch = Some(watch),
        Err(error) => state.pending.extend(canceled_response(&error)),
    }
    stream::unfold(state, next_line)
}

async fn next_line<W: Watch>(
    mut state: WatchLines<W>,
) -> Option<(Result<Bytes, io::Error>, WatchLines<W>)> {
    if let Some(response) = state.pending.pop_front() {
        return Some((json_line(&StreamItem::Result(response)), state));
    }
    let watch = state.watch.as_mut()?;
    match watch.next().await {
        Ok(batch) => {
            let line = json_line(&StreamItem::Result(batch_response(batch)));
            Some((line, state))
        }
        Err(error) => {
            state.watch = None;
            match canceled_response(&error) {
                Some(response) => Some((json_line(&StreamItem::Result(response)), state)),
                None => Some((Err(io::Error::other(error)), state)),
            }
        }
    }
}

/// Returns the final message of a compacted watch. For other errors, which close the
/// stream without a message, returns `None`.
fn canceled_response(error: &Error) -> Option<WatchResponse> {
    let Error::Compacted { oldest } = error else { return None };
    Some(WatchResponse {
        canceled: true,
        compact_revision: Int64(oldest.0),
        cancel_reason: error.to_string(),
        ..WatchResponse::default()
    })
}

fn batch_response(batch: WatchBatch) -> WatchResponse {
    let revision = batch.revision;
    let event = |change| watch_event(change, revision);
    let events = batch.changes.into_iter().map(event).collect();
    WatchResponse { header: header(revision), events, ..WatchResponse::default() }
}

/// Converts a change into an event. The store does not deliver the revision of a
/// deletion, so a deletion gets the revision of its batch, which is at least as high.
fn watch_event((key, entry): (Key, Option<Entry>), revision: StoreRevision) -> WatchEvent {
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

fn json_line<T: Serialize>(item: &StreamItem<T>) -> Result<Bytes, io::Error> {
    let mut line = serde_json::to_vec(item).map_err(io::Error::other)?;
    line.push(b'\n');
    Ok(line.into())
}
