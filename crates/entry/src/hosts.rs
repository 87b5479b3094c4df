//! The platform's lagging list of hosts.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use http::{HeaderValue, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_net::Client;

use crate::metrics::{Direction, Metrics};

/// Longest time for one request to the host list.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest list that is read.
const LIST_MAX_BYTES: usize = 1024 * 1024;

/// What a host is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// An instance that answers calls.
    Endpoint,
    /// A machine that runs jobs.
    Worker,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It takes work.
    Live,
    /// It is about to go and gets nothing new.
    Leaving,
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub id: HostId,
    /// Pool; none for a host that no pool has yet.
    #[serde(default)]
    pub pool: Option<PoolId>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// Address and port.
    pub addr: SocketAddr,
    /// What it is for.
    pub kind: HostKind,
    /// Whether it stays.
    pub state: HostState,
}

/// One reading of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Grows with each change.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// The newest reading of the list.
#[derive(Debug, Default)]
pub struct HostTable {
    list: RwLock<Arc<HostList>>,
}

impl HostTable {
    /// Returns the newest reading.
    pub fn current(&self) -> Arc<HostList> {
        Arc::clone(&self.list.read().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Takes in a reading; returns whether it is newer. An older one, which a
    /// lagging replica of the list may give, is ignored.
    pub fn offer(&self, list: HostList) -> bool {
        let mut current = self.list.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        if list.revision <= current.revision {
            return false;
        }
        *current = Arc::new(list);
        true
    }
}

/// Reads the list once; none if it is still the one of `tag`, which is set to
/// the tag of the list that is returned. A platform that gives no tags sends
/// the whole list each time.
///
/// # Errors
///
/// Those of the HTTP layer; a malformed list is a decode error.
pub(crate) async fn fetch(
    client: &Client,
    metrics: &Metrics,
    addr: SocketAddr,
    tag: &mut Option<HeaderValue>,
) -> Result<Option<HostList>, vg_net::Error> {
    let mut request = Request::get(format!("http://{addr}/hosts"));
    if let Some(tag) = tag {
        request = request.header(header::IF_NONE_MATCH, tag.clone());
    }
    let request = request.body(vg_net::empty_body());
    let request = request.map_err(|source| vg_net::Error::Request { source })?;
    let reply = client.call(request, LIST_TIMEOUT, LIST_MAX_BYTES).await?;
    metrics.record_control_message("host-list", Direction::Received, reply.body.len());
    if reply.status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    if !reply.status.is_success() {
        return Err(vg_net::Error::Status { to: addr.to_string(), status: reply.status.as_u16() });
    }
    let list = serde_json::from_slice(&reply.body);
    let list = list.map_err(|e| vg_net::Error::Decode { reason: e.to_string() })?;
    *tag = reply.headers.get(header::ETAG).cloned();
    Ok(Some(list))
}
