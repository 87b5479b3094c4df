//! Control traffic of an idle site, and changes that are detected without watches.

mod common;

use std::net::SocketAddr;

use common::{eventually, name, small_site};
use verbenagap::site::{Site, node_id};
use vg_base::prelude::*;
use vg_standin::{Host, HostKind, HostState};

/// Time for which an idle site is observed: several periods of polling.
const OBSERVATION: Duration = Duration::from_secs(3);

/// Returns the sum of a counter over all nodes.
fn counter_sum(site: &Site, counter: &str) -> f64 {
    let texts = site.nodes().values().map(|node| node.handle.node().metrics.encode_text().unwrap());
    let lines: Vec<String> = texts
        .flat_map(|text| {
            String::from_utf8(text).unwrap().lines().map(str::to_owned).collect::<Vec<_>>()
        })
        .collect();
    let values = lines.iter().filter_map(|line| line.strip_prefix(counter));
    values.map(|value| value.trim().parse::<f64>().unwrap()).sum()
}

/// Returns the name and labels of the counter of received control bytes of a kind.
fn received_bytes(kind: &str) -> String {
    format!("verbenagap_control_bytes_total{{direction=\"received\",kind=\"{kind}\"}}")
}

/// Makes all store watches deliver nothing.
fn silence_watches(site: &Site) {
    site.nodes().values().for_each(|node| node.faults.set_silent(true));
}

/// Nodes confirm periodically that their lists and hosts are current. If they read the whole
/// content each time, an idle site would cause traffic that grows with the lists and hosts.
#[tokio::test(flavor = "multi_thread")]
async fn idle_site_does_not_read_unchanged_lists_and_hosts() {
    let site = small_site().await;
    // After this time, the start of the site causes no more changes.
    tokio::time::sleep(OBSERVATION).await;
    let before = ["store-lists", "host-list"].map(|kind| counter_sum(&site, &received_bytes(kind)));
    let confirm_counter = "verbenagap_store_calls_total{kind=\"lists-confirm\",result=\"done\"}";
    let confirmed_before = counter_sum(&site, confirm_counter);
    tokio::time::sleep(OBSERVATION).await;
    let after = ["store-lists", "host-list"].map(|kind| counter_sum(&site, &received_bytes(kind)));
    assert!(before.iter().all(|bytes| *bytes > 0.0), "the counters are zero: {before:?}");
    assert_eq!(before, after, "unchanged lists or hosts were read again");
    assert!(counter_sum(&site, confirm_counter) > confirmed_before, "the lists were not confirmed");
}

/// A store watch can stay connected and deliver nothing. Nodes that relied on watches alone
/// would then use old lists for ever.
#[tokio::test(flavor = "multi_thread")]
async fn changed_lists_are_detected_without_watches() {
    let site = small_site().await;
    silence_watches(&site);
    let (plans, uses) = site.list_texts().unwrap();
    let plans = plans.replacen("limit = 6", "limit = 7", 1);
    let revision = site.change_lists(plans, uses).await.unwrap();
    let in_force = |site: &Site| {
        let mut nodes = site.nodes().values();
        nodes.all(|node| node.handle.node().config.current().revision == revision)
    };
    eventually("every node uses the change", || in_force(&site)).await;
}

/// A store watch can stay connected and deliver nothing. Nodes that relied on watches alone
/// would then never fence a member that crashed.
#[tokio::test(flavor = "multi_thread")]
async fn lost_member_is_fenced_without_watches() {
    let mut site = small_site().await;
    silence_watches(&site);
    let lost = site.take_node(&node_id(0)).unwrap();
    lost.handle.kill().await;
    let fenced = |site: &Site| {
        site.nodes()
            .values()
            .all(|node| node.handle.node().membership.lock().cluster_state().live().count() == 2)
    };
    eventually("the lost member is fenced", || fenced(&site)).await;
}

/// Nodes poll the host list with the tag of the version that they have and get the list only
/// if it changed. A tag that did not change with the list would hide a new host.
#[tokio::test(flavor = "multi_thread")]
async fn new_host_is_detected_through_the_list_tag() {
    let site = small_site().await;
    tokio::time::sleep(OBSERVATION).await;
    let id: HostId = name("late-host");
    site.host_list().put(Host {
        id: id.clone(),
        pool: Some(name("notices")),
        rack: name("rack-1"),
        zone: name("zone-a"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        kind: HostKind::Endpoint,
        state: HostState::Leaving,
    });
    let listed = |site: &Site| {
        let lists = site.nodes().values().map(|node| node.handle.node().hosts.current());
        lists.into_iter().all(|list| list.hosts.iter().any(|host| host.id == id))
    };
    eventually("all entry hosts list the new host", || listed(&site)).await;
}
