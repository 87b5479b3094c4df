//! Applies a newer host list to the table.

use vg_base::prelude::*;

use super::{Endpoints, mark_busy};
use crate::endpoints::instance::{Instance, SLOTS_MAX};
use crate::endpoints::{EndpointChange, EndpointInfo};

impl Endpoints {
    /// Marks the instances that the list does not show.
    pub(super) fn mark_unlisted(
        &mut self,
        list: &[EndpointInfo],
        changes: &mut Vec<EndpointChange>,
    ) {
        for instance in self.instances.values_mut().filter(|each| each.listed) {
            if !list.iter().any(|info| is_same_instance(info, &instance.info)) {
                instance.listed = false;
                changes.push(EndpointChange::Removed(instance.info.id.clone()));
            }
        }
    }

    /// Adds or updates the instance of one entry of the list. `first` tells whether
    /// this is the first list of this owner.
    pub(super) fn update_instance(
        &mut self,
        info: &EndpointInfo,
        first: bool,
        now: Instant,
        changes: &mut Vec<EndpointChange>,
    ) {
        let known = self.instances.values_mut().find(|each| is_same_instance(info, &each.info));
        if let Some(instance) = known {
            let was_open = instance.is_open();
            instance.listed = true;
            instance.info = info.clone();
            match (was_open, instance.is_open()) {
                (true, false) => changes.push(EndpointChange::Leaving(info.id.clone())),
                (false, true) => {
                    instance.serving_since = Some(now);
                    changes.push(EndpointChange::Resumed(info.id.clone()));
                }
                _ => {}
            }
            return;
        }
        let mut instance = Instance::new(info.clone(), (!first).then_some(now));
        if let Some(until) = self.busy_until.filter(|until| *until > now) {
            mark_busy(&mut instance, SLOTS_MAX, until);
        }
        self.instances.insert(instance);
        changes.push(EndpointChange::Joined(info.id.clone()));
    }
}

/// Whether two entries describe the same instance. A host with another address is
/// another instance.
fn is_same_instance(a: &EndpointInfo, b: &EndpointInfo) -> bool {
    a.id == b.id && a.addr == b.addr
}
