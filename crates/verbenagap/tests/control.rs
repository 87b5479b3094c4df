//! Control traffic at rest, and what is learned without watches.

mod common;

use std::net::SocketAddr;

use common::{eventually, name, small_site};
use verbenagap::site::{Site, node_id};
use vg_base::prelude::*;
use vg_standin::{Host, HostKind, HostState};

/// Time over which a site at rest is looked at: several periods.
const REST: Duration = Duration::from_secs(3);

/// Returns the sum of a counter over all nodes.
fn counted(site: &Site, counter: &str) -> f64 {
    let texts = site.nodes().values().map(|node| node.handle.node().metrics.encode_text().unwrap());
    let lines: Vec<String> = texts
        .flat_map(|text| {
            String::from_utf8(text).unwrap().lines().map(str::to_owned).collect::<Vec<_>>()
        })
        .collect();
    let values = lines.iter().filter_map(|line| line.strip_prefix(counter));
    values.map(|value| value.trim().parse::<f64>().unwrap()).sum()
}

fn received(kind: &str) -> String {
    format!("verbenagap_control_bytes_total{{direction=\"received\",kind=\"{kind}\"}}")
}

fn silence(site: &Site) {
    site.nodes().values().for_each(|node| node.faults.set_silent(true));
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_and_hosts_are_not_read_whole_at_rest() {
    let site = small_site().await;
    // What the start still changes has settled after this.
    tokio::time::sleep(REST).await;
    let before = ["store-lists", "host-list"].map(|kind| counted(&site, &received(kind)));
    let confirmed = "verbenagap_store_calls_total{kind=\"lists-confirm\",result=\"done\"}";
    let asked = counted(&site, confirmed);
    tokio::time::sleep(REST).await;
    let after = ["store-lists", "host-list"].map(|kind| counted(&site, &received(kind)));
    assert!(before.iter().all(|bytes| *bytes > 0.0), "nothing is counted: {before:?}");
    assert_eq!(before, after, "bytes of lists and hosts that did not change");
    assert!(counted(&site, confirmed) > asked, "the lists are not confirmed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_though_no_watch_tells_of_it() {
    let site = small_site().await;
    silence(&site);
    let (plans, uses) = site.texts().unwrap();
    let plans = plans.replacen("limit = 6", "limit = 7", 1);
    let revision = site.change_lists(plans, uses).await.unwrap();
    let has = |site: &Site| {
        let mut nodes = site.nodes().values();
        nodes.all(|node| node.handle.node().config.current().revision == revision)
    };
    eventually("the change is in force", || has(&site)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_member_is_noticed_though_no_watch_tells_of_it() {
    let mut site = small_site().await;
    silence(&site);
    let lost = site.take_node(&node_id(0)).unwrap();
    lost.handle.kill().await;
    let fenced = |site: &Site| {
        site.nodes()
            .values()
            .all(|node| node.handle.node().membership.lock().cluster_state().live().count() == 2)
    };
    eventually("the lost member is fenced", || fenced(&site)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_host_is_seen_behind_the_tag_of_the_list() {
    let site = small_site().await;
    tokio::time::sleep(REST).await;
    let id: HostId = name("late-host");
    site.hosts().put(Host {
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
