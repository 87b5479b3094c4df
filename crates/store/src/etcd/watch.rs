//! A watch over the etcd v3 JSON gateway.

use tokio::time::timeout;

use crate::etcd::classify::{Effect, classify};
use crate::etcd::lines::Lines;
use crate::etcd::store::{first_key, range_end};
use crate::etcd::transport::{Transport, decode};
use crate::etcd::wire::{
    CreateRequest, EventKind, Int64, StreamItem, WatchEvent, WatchRequest, WatchResponse,
};
use crate::{Entry, Error, Key, StoreRevision, Watch, WatchBatch};

/// A watch of an [`EtcdStore`](crate::EtcdStore).
#[derive(Debug)]
pub struct EtcdWatch {
    transport: Transport,
    prefix: Key,
    /// First revision that has not been delivered yet.
    from: StoreRevision,
    lines: Lines,
}

impl EtcdWatch {
    /// Opens a watch and waits until the store has confirmed it.
    pub(crate) async fn open(
        transport: Transport,
        prefix: Key,
        from: StoreRevision,
    ) -> Result<EtcdWatch, Error> {
        let (lines, now) = open(&transport, &prefix, from).await?;
        let from = if from.0 > 0 { from } else { StoreRevision(now.0 + 1) };
        Ok(EtcdWatch { transport, prefix, from, lines })
    }

    /// Handles a response. Returns `None` for the confirmation of the watch.
    fn handle_response(&mut self, response: WatchResponse) -> Result<Option<WatchBatch>, Error> {
        check_response(&response)?;
        if response.created {
            return Ok(None);
        }
        let header = StoreRevision(response.header.revision.0);
        let last = response.events.iter().map(|each| each.kv.mod_revision.0).max();
        // While a watch catches up, the revision in the header is ahead of the delivered
        // events. If there are no events, all changes up to the header's revision have been
        // delivered.
        let revision = last.map_or(header, StoreRevision);
        let changes = response.events.into_iter().map(decode_event).collect::<Result<_, _>>()?;
        self.from = self.from.max(StoreRevision(revision.0 + 1));
        Ok(Some(WatchBatch { revision, changes }))
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        loop {
            let idle = self.transport.settings().watch_idle;
            match timeout(idle, self.lines.next()).await {
                Ok(line) => {
                    if let Some(batch) = self.handle_response(parse_response(&line?)?)? {
                        return Ok(batch);
                    }
                }
                Err(_) => {
                    let (lines, _) = open(&self.transport, &self.prefix, self.from).await?;
                    self.lines = lines;
                }
            }
        }
    }
}

/// Opens a watch stream and waits for the confirmation. Returns the stream with the revision
/// of the store at that time.
async fn open(
    transport: &Transport,
    prefix: &Key,
    from: StoreRevision,
) -> Result<(Lines, StoreRevision), Error> {
    let create_request = CreateRequest {
        key: first_key(prefix),
        range_end: range_end(prefix),
        start_revision: Int64(from.0.max(0)),
        progress_notify: true,
    };
    let request = WatchRequest { create_request };
    let opened = async {
        let body = transport.open("/v3/watch", &request, Effect::ReadOnly).await?;
        let mut lines = Lines::new(body);
        let response = parse_response(&lines.next().await?)?;
        check_response(&response)?;
        if !response.created {
            return Err(Error::Malformed { reason: "the watch was not confirmed".to_owned() });
        }
        Ok((lines, response.header.confirmed_revision()?))
    };
    match timeout(transport.settings().call_timeout, opened).await {
        Ok(opened) => opened,
        Err(_) => Err(Error::Unavailable { reason: "the watch was not confirmed".to_owned() }),
    }
}

fn parse_response(line: &[u8]) -> Result<WatchResponse, Error> {
    match decode(line)? {
        StreamItem::Result(response) => Ok(response),
        StreamItem::Error(e) => Err(classify(e.grpc_code, &e.message, Effect::ReadOnly)),
    }
}

/// Checks that the store has not ended the watch.
fn check_response(response: &WatchResponse) -> Result<(), Error> {
    if !response.compact_revision.is_zero() {
        return Err(Error::Compacted { oldest: StoreRevision(response.compact_revision.0) });
    }
    if response.canceled {
        return Err(Error::Unavailable { reason: response.cancel_reason.clone() });
    }
    Ok(())
}

fn decode_event(event: WatchEvent) -> Result<(Key, Option<Entry>), Error> {
    let key = event.kv.key_text()?;
    match event.kind {
        EventKind::Put => Ok((key, Some(event.kv.try_into()?))),
        EventKind::Delete => Ok((key, None)),
    }
}
