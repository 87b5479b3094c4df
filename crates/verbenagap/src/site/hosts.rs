//! The hosts of a site's pools.

use snafu::ResultExt;
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_standin::{Endpoint, EndpointSettings, Host, HostKind, HostState, Worker, WorkerSettings};

use crate::site::error::StandinSnafu;
use crate::site::{Site, SiteError, name, zone_id};

impl Site {
    pub(super) async fn start_endpoints(&mut self, pool: &PoolId) -> Result<(), SiteError> {
        for at in 0..self.plan.endpoints {
            let zone = zone_id(at % self.plan.zones);
            let id: HostId = name(&format!("{pool}-{at}"));
            let settings = EndpointSettings {
                service_time: self.plan.service,
                ..EndpointSettings::new(id.clone())
            };
            let endpoint =
                Endpoint::start(settings, self.log.clone()).await.context(StandinSnafu)?;
            self.hosts.put(Host {
                id: id.clone(),
                pool: Some(pool.clone()),
                rack: name(&format!("{zone}-r{}", at / self.plan.zones)),
                zone,
                addr: endpoint.addr(),
                kind: HostKind::Endpoint,
                state: HostState::Live,
            });
            self.endpoints.insert(id, endpoint);
        }
        Ok(())
    }

    pub(super) async fn start_workers(&mut self, pool: &PoolId) -> Result<(), SiteError> {
        for at in 0..self.plan.workers {
            let zone = zone_id(at % self.plan.zones);
            let id: HostId = name(&format!("{pool}-worker-{at}"));
            let settings = WorkerSettings::new(id.clone());
            let worker = Worker::start(settings, self.log.clone(), SystemClock).await;
            let worker = worker.context(StandinSnafu)?;
            self.hosts.put(Host {
                id: id.clone(),
                pool: Some(pool.clone()),
                rack: name(&format!("{zone}-w{}", at / self.plan.zones)),
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
