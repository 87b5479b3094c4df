//! What a newer host list changes.

use vg_base::prelude::*;

use super::{Endpoints, fill};
use crate::endpoints::instance::{Instance, SLOTS};
use crate::endpoints::{EndpointChange, EndpointInfo};

impl Endpoints {
    /// Marks what the list does not show.
    pub(super) fn unlist(&mut self, list: &[EndpointInfo], changes: &mut Vec<EndpointChange>) {
        for instance in self.instances.values_mut().filter(|each| each.listed) {
            if !list.iter().any(|info| is_same(info, &instance.info)) {
                instance.listed = false;
                changes.push(EndpointChange::Removed(instance.info.id.clone()));
            }
        }
    }

    /// Takes in one entry of the list.
    pub(super) fn list(
        &mut self,
        info: &EndpointInfo,
        first: bool,
        now: Instant,
        changes: &mut Vec<EndpointChange>,
    ) {
        let known = self.instances.values_mut().find(|each| is_same(info, &each.info));
        if let Some(instance) = known {
            let was_open = instance.is_open();
            instance.listed = true;
            instance.info = info.clone();
            match (was_open, instance.is_open()) {
                (true, false) => changes.push(EndpointChange::Leaving(info.id.clone())),
                (false, true) => {
                    instance.since = Some(now);
                    changes.push(EndpointChange::Resumed(info.id.clone()));
                }
                _ => {}
            }
            return;
        }
        let mut instance = Instance::new(info.clone(), (!first).then_some(now));
        if let Some(until) = self.adopted.filter(|until| *until > now) {
            fill(&mut instance, SLOTS, until);
        }
        self.instances.insert(instance);
        changes.push(EndpointChange::Joined(info.id.clone()));
    }
}

/// A host with another address is another instance.
fn is_same(a: &EndpointInfo, b: &EndpointInfo) -> bool {
    a.id == b.id && a.addr == b.addr
}
