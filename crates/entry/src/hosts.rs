//! The platform's host list, which may lag behind the actual hosts.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use http::{HeaderValue, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_net::Client;

use crate::metrics::{Direction, Metrics};

/// Time limit for one request to the host list.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// Size limit for the host list.
const LIST_MAX_BYTES: usize = 1024 * 1024;

/// Purpose of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// An instance that answers calls.
    Endpoint,
    /// A host that runs jobs.
    Worker,
}

/// Whether a host accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host accepts work.
    Live,
    /// The host is about to be removed and gets no new work.
    Leaving,
}

/// A host as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub id: HostId,
    /// Its pool, or `None` if no pool has the host yet.
    #[serde(default)]
    pub pool: Option<PoolId>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Its address and port.
    pub addr: SocketAddr,
    /// Its purpose.
    pub kind: HostKind,
    /// Whether it accepts new work.
    pub state: HostState,
}

/// One version of the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Revision, which grows with each change.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// The newest known version of the host list.
#[derive(Debug, Default)]
pub struct HostTable {
    list: RwLock<Arc<HostList>>,
}

impl HostTable {
    /// Returns the newest known version.
    pub fn current(&self) -> Arc<HostList> {
        Arc::clone(&self.list.read().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Stores a version of the list if it is newer, and returns whether it is. An older
    /// version, which a lagging replica of the list may return, is ignored.
    pub fn offer(&self, list: HostList) -> bool {
        let mut current = self.list.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        if list.revision <= current.revision {
            return false;
        }
        *current = Arc::new(list);
        true
    }
}

/// Reads the list once. Returns `None` if it is unchanged since `tag`, and otherwise sets
/// `tag` to the entity tag of the returned list. A platform without entity tags sends the
/// whole list each time.
///
/// # Errors
///
/// The errors of the HTTP client. A malformed list is a decoding error.
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
