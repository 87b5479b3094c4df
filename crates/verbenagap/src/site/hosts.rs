//! Starts the endpoints and workers of a site's pools and lists them as hosts.

use snafu::ResultExt;
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_standin::{Endpoint, EndpointSettings, Host, HostKind, HostState, Worker, WorkerSettings};

use crate::site::error::StandinSnafu;
use crate::site::{Site, SiteError, name, zone_id};

impl Site {
    /// Starts the endpoints of a pool, spread over the zones, and adds them to the host
    /// list.
    pub(super) async fn start_endpoints(&mut self, pool: &PoolId) -> Result<(), SiteError> {
        for index in 0..self.plan.endpoints {
            let zone = zone_id(index % self.plan.zones);
            let id: HostId = name(&format!("{pool}-{index}"));
            let settings = EndpointSettings {
                service_time: self.plan.service_time,
                ..EndpointSettings::new(id.clone())
            };
            let endpoint =
                Endpoint::start(settings, self.run_log.clone()).await.context(StandinSnafu)?;
            self.host_list.put(Host {
                id: id.clone(),
                pool: Some(pool.clone()),
                rack: name(&format!("{zone}-r{}", index / self.plan.zones)),
                zone,
                addr: endpoint.addr(),
                kind: HostKind::Endpoint,
                state: HostState::Live,
            });
            self.endpoints.insert(id, endpoint);
        }
        Ok(())
    }

    /// Starts the workers of a pool, spread over the zones, and adds them to the host list.
    pub(super) async fn start_workers(&mut self, pool: &PoolId) -> Result<(), SiteError> {
        for index in 0..self.plan.workers {
            let zone = zone_id(index % self.plan.zones);
            let id: HostId = name(&format!("{pool}-worker-{index}"));
            let settings = WorkerSettings::new(id.clone());
            let worker = Worker::start(settings, self.run_log.clone(), SystemClock).await;
            let worker = worker.context(StandinSnafu)?;
            self.host_list.put(Host {
                id: id.clone(),
                pool: Some(pool.clone()),
                rack: name(&format!("{zone}-w{}", index / self.plan.zones)),
                zone,
                addr: worker.addr(),
                kind: HostKind::Worker,
                state: HostState::Live,
            });
            self.workers.insert(id, worker);
        }
        Ok(())
    }
}
