//! Guarantees for calls while entry hosts, endpoints and the store fail.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use common::{eventually, name, small_site};
use tokio::task::JoinSet;
use verbenagap::site::{Answer, CallRequest, Caller, Site, node_id};
use vg_base::prelude::*;
use vg_entry::PoolOwner;
use vg_events::{Code, Event};
use vg_standin::{EndpointMode, Run};

/// A running stream of calls, with the answers and the times at which the calls were sent.
struct CallStream {
    answers: Arc<Mutex<Vec<(Instant, Answer)>>>,
    tasks: JoinSet<()>,
}

impl CallStream {
    /// Sends a call every `interval` for `duration`.
    fn start(
        caller: Caller,
        queue: &'static str,
        interval: Duration,
        duration: Duration,
    ) -> CallStream {
        let answers = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&answers);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let (caller, started) = (Arc::new(caller), Instant::now());
            let mut calls = JoinSet::new();
            while started.elapsed() < duration {
                tokio::time::sleep(interval).await;
                let (caller, log) = (Arc::clone(&caller), Arc::clone(&log));
                calls.spawn(async move {
                    let sent_at = Instant::now();
                    let call = CallRequest::new(queue, b"x", Duration::from_millis(3000));
                    let answer = caller.call(&call).await;
                    log.lock().unwrap().push((sent_at, answer));
                });
            }
            calls.join_all().await;
        });
        CallStream { answers, tasks }
    }

    /// Waits for the end of the stream and returns the answers.
    async fn finish(self) -> Vec<(Instant, Answer)> {
        self.tasks.join_all().await;
        std::mem::take(&mut self.answers.lock().unwrap())
    }
}

/// Checks the answers of a non-idempotent queue against the work that ran, and the limits of
/// endpoints and teams.
fn check_answers(site: &Site, answers: &[(Instant, Answer)]) {
    for (_, answer) in answers {
        let Some(request) = answer.request_id else { continue };
        let runs = site.run_log().runs_of(&request.to_string());
        assert!(runs <= 1, "ran {runs} times: {answer:?}");
        if answer.outcome == Outcome::NotRun {
            assert_eq!(runs, 0, "reported as not run, but ran: {answer:?}");
        }
        if answer.outcome == Outcome::Answered {
            assert_eq!(runs, 1, "{answer:?}");
        }
    }
    for endpoint in site.endpoints().values() {
        assert_eq!(endpoint.counts().over_slots, 0, "too many calls at {}", endpoint.id());
    }
    assert!(site.run_log().peak("bakery") <= 6);
    assert!(site.run_log().peak("dairy") <= 40);
}

/// Prints the events of the running nodes after a call was refused or cut. Events of calls
/// (numbers 400 to 409) are left out unless they concern this call.
#[allow(clippy::print_stdout)]
fn print_events(site: &Site, answer: &Answer) {
    let Some(request) = answer.request_id else { return };
    for node in site.nodes().values() {
        let events = node.handle.node().events.window(0, usize::MAX).events;
        let is_related = |event: &&Event| {
            let call_events = 400..410;
            event.field("request") == Some(&request.to_string())
                || !call_events.contains(&event.code.number())
        };
        events.iter().filter(is_related).for_each(|event| println!("{event}"));
    }
}

/// Returns the entry host that owns a pool.
fn owner_of(site: &Site, pool: &str) -> NodeId {
    let pool: PoolId = name(pool);
    let owns = |node: &NodeId| {
        site.nodes()[node].handle.node().membership.owner(&pool) == Some(PoolOwner::Local)
    };
    site.nodes().keys().find(|node| owns(node)).unwrap().clone()
}

/// The owner of a pool crashes while calls run. Another entry host must take over the pool,
/// and must not run calls again that the crashed owner had dispatched.
#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_is_replaced_and_nothing_runs_twice() {
    let mut site = small_site().await;
    let owner = owner_of(&site, "notices");
    let duration = Duration::from_secs(16);
    let stream = CallStream::start(
        site.caller(&name("dairy")),
        "urgent",
        Duration::from_millis(5),
        duration,
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let killed_at = Instant::now();
    site.take_node(&owner).unwrap().handle.kill().await;
    let answers = stream.finish().await;
    check_answers(&site, &answers);
    let after = answers
        .iter()
        .filter(|(sent_at, answer)| *sent_at > killed_at && answer.outcome == Outcome::Answered);
    let first = after.map(|(sent_at, _)| *sent_at - killed_at).min();
    assert!(first.is_some(), "no entry host took over the pool");
}

/// A node that alone loses the store may have been fenced without knowing it. If it kept
/// dispatching, two owners could dispatch the same pool. The other nodes must go on.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_store_refuses_while_the_others_serve() {
    let site = small_site().await;
    let isolated = node_id(0);
    site.nodes()[&isolated].faults.set_down(true);
    let refuses = || site.nodes()[&isolated].handle.node().membership.check_may_act().is_err();
    eventually("the isolated node refuses to act", refuses).await;
    let addr = site.nodes()[&isolated].handle.node().call_addr;
    let caller = site.caller(&name("dairy"));
    let call = CallRequest::new("urgent", b"x", Duration::from_secs(3));
    assert_eq!(caller.call_at(addr, &call).await.outcome, Outcome::NotRun);
    let pool: PoolId = name("notices");
    let has_new_owner = || {
        let others = site.nodes().iter().filter(|(id, _)| **id != isolated);
        others.clone().any(|(_, node)| {
            node.handle.node().membership.owner(&pool) == Some(PoolOwner::Local)
                && !node.handle.node().pools.is_empty()
        })
    };
    eventually("another node owns the pool", has_new_owner).await;
    let other = site.nodes()[&node_id(1)].handle.node().call_addr;
    let mut answer = caller.call_at(other, &call).await;
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    while answer.outcome != Outcome::Answered && Instant::now() < deadline {
        answer = caller.call_at(other, &call).await;
    }
    assert_eq!(answer.outcome, Outcome::Answered, "{answer:?}");
    check_answers(&site, &[]);
}

/// All nodes lose the store for 8 s, longer than a lease. The nodes confirm each other's
/// authority meanwhile, so that no call is refused.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_does_not_interrupt_calls() {
    let site = small_site().await;
    let duration = Duration::from_secs(12);
    let stream = CallStream::start(
        site.caller(&name("dairy")),
        "urgent",
        Duration::from_millis(5),
        duration,
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.nodes().values().for_each(|node| node.faults.set_down(true));
    tokio::time::sleep(Duration::from_secs(8)).await;
    site.nodes().values().for_each(|node| node.faults.set_down(false));
    let answers = stream.finish().await;
    check_answers(&site, &answers);
    let refused: Vec<_> =
        answers.iter().filter(|(_, answer)| answer.outcome != Outcome::Answered).collect();
    let mut codes: BTreeMap<String, usize> = BTreeMap::new();
    for (_, answer) in &refused {
        *codes.entry(format!("{:?}", answer.problem.as_ref().map(|p| p.code))).or_default() += 1;
    }
    assert_eq!(refused.len(), 0, "{} of {} refused: {codes:?}", refused.len(), answers.len());
}

/// Each entry host in turn is stopped as planned and started again under load. A call that
/// arrives during the handover of a pool must be neither cut nor refused.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_cuts_and_refuses_no_calls() {
    let mut site = small_site().await;
    let duration = Duration::from_secs(12);
    let stream = CallStream::start(
        site.caller(&name("dairy")),
        "urgent",
        Duration::from_millis(5),
        duration,
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in 0..3 {
        let node = site.take_node(&node_id(index)).unwrap();
        assert!(node.handle.stop(Duration::from_millis(50)).await, "the planned stop left work");
        site.start_node(&node_id(index)).await.unwrap();
        assert!(site.wait_ready(common::WAIT_TIMEOUT).await);
    }
    let answers = stream.finish().await;
    check_answers(&site, &answers);
    let failed = answers.iter().find(|(_, answer)| answer.outcome != Outcome::Answered);
    if let Some((_, answer)) = failed {
        print_events(&site, answer);
    }
    let unknown = answers.iter().find(|(_, answer)| answer.outcome == Outcome::Unknown);
    assert!(unknown.is_none(), "a call was cut: {unknown:?}");
    let refused = answers.iter().find(|(_, answer)| answer.outcome == Outcome::NotRun);
    assert!(refused.is_none(), "a call was refused: {refused:?}");
}

fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap().as_micros() as u64
}

/// Returns when the owner of its pool sent each call to an endpoint, by request, in
/// microseconds of wall time.
fn sent_micros(site: &Site) -> HashMap<String, u64> {
    let mut sent = HashMap::new();
    for node in site.nodes().values() {
        let events = node.handle.node().events.window(0, usize::MAX).events;
        for event in events.iter().filter(|event| event.code == Code::CallStarted) {
            if let Some(request) = event.field("request") {
                sent.insert(request.to_owned(), event.stamp.micros);
            }
        }
    }
    sent
}

/// A team's limit is lowered below the number of its running calls. If freed permits were
/// used again at once, the team would stay above its new limit. No call may start until
/// fewer calls than the new limit run.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_lowered_while_full_starts_nothing_until_below() {
    let site = small_site().await;
    for endpoint in site.endpoints().values() {
        endpoint.faults().set_slowness(40);
    }
    let team: TeamId = name("dairy");
    let duration = Duration::from_secs(8);
    let stream =
        CallStream::start(site.caller(&team), "urgent", Duration::from_millis(20), duration);
    eventually("more calls run than the new limit allows", || {
        site.run_log().running("dairy") >= 12
    })
    .await;
    let (plans, uses) = site.list_texts().unwrap();
    let lowered = plans.replace("limit = 40", "limit = 5");
    let revision = site.change_lists(lowered, uses).await.unwrap();
    let in_force = || {
        site.nodes().values().all(|node| {
            let membership = node.handle.node().membership.lock();
            membership.cluster_state().ledger.revision == revision
        })
    };
    eventually("every node has the lowered limit", in_force).await;
    let (lowered_at, lowered_micros) = (Instant::now(), wall_micros());
    let answers = stream.finish().await;
    check_answers(&site, &answers);
    // Calls that were running when the limit was lowered may finish, and so may calls that the
    // pool's owner had sent before. Calls that it sends later must stay within the lowered limit.
    let runs = site.run_log().runs();
    let sent = sent_micros(&site);
    let is_later = |run: &&Run| match sent.get(run.label.request.as_str()) {
        Some(&micros) => micros > lowered_micros,
        None => run.start > lowered_at,
    };
    let later: Vec<_> = runs.iter().filter(is_later).collect();
    assert!(!later.is_empty(), "no call started under the lowered limit");
    for run in later {
        let running = runs
            .iter()
            .filter(|each| each.start <= run.start && each.end.is_none_or(|end| end > run.start));
        let (running, since) = (running.count(), run.start - lowered_at);
        assert!(
            running <= 5,
            "{running} calls run after a start {since:?} after the limit was lowered"
        );
    }
}

/// The owner of a pool crashes while no node reaches the store. The pool can be reassigned
/// only after the outage, and until then no call may run twice or beyond a limit.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_during_store_outage_is_replaced_later() {
    let mut site = small_site().await;
    let owner = owner_of(&site, "notices");
    let duration = Duration::from_secs(18);
    let interval = Duration::from_millis(10);
    let stream = CallStream::start(site.caller(&name("dairy")), "urgent", interval, duration);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.nodes().values().for_each(|node| node.faults.set_down(true));
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.take_node(&owner).unwrap().handle.kill().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.nodes().values().for_each(|node| node.faults.set_down(false));
    let recovered_at = Instant::now();
    let answers = stream.finish().await;
    check_answers(&site, &answers);
    let after = |(sent_at, answer): &&(Instant, Answer)| {
        *sent_at > recovered_at && answer.outcome == Outcome::Answered
    };
    assert!(answers.iter().any(|each| after(&each)), "no entry host took over the pool");
}

/// An endpoint that breaks off in the middle of its answer may have run the call. The caller
/// must not get the part as a complete answer, nor be told that the call did not run.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_reported_as_unknown() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    for endpoint in site.endpoints().values() {
        endpoint.faults().set_mode(EndpointMode::Cut);
    }
    for _ in 0..5 {
        let call = CallRequest::new("urgent", b"x", Duration::from_secs(2));
        let answer = caller.call(&call).await;
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
        check_answers(&site, &[(Instant::now(), answer)]);
    }
}

/// An endpoint that fails every call at once is always idle, so choosing the least loaded
/// endpoint would send it most of the calls.
#[tokio::test(flavor = "multi_thread")]
async fn fast_failing_endpoint_does_not_attract_calls() {
    let site = small_site().await;
    let failing: HostId = name("notices-0");
    site.endpoints()[&failing].faults().set_mode(EndpointMode::Fail);
    let duration = Duration::from_secs(4);
    let stream = CallStream::start(
        site.caller(&name("dairy")),
        "urgent",
        Duration::from_millis(4),
        duration,
    );
    let answers = stream.finish().await;
    check_answers(&site, &answers);
    let failed =
        answers.iter().filter(|(_, answer)| answer.status.is_some_and(|s| s == 500)).count();
    assert!(failed * 10 < answers.len(), "{failed} of {} failed", answers.len());
}

/// The owner crashes while keyed calls run, and callers repeat them at its successor. The
/// successor must know from the receipts which keys may have run.
#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_runs_once_after_owner_crash() {
    let mut site = small_site().await;
    let owner = owner_of(&site, "notices");
    for endpoint in site.endpoints().values() {
        endpoint.faults().set_slowness(25);
    }
    let caller = Arc::new(site.caller(&name("dairy")));
    let call = |n: u32| {
        let key = format!("key-{n}");
        CallRequest::new("urgent", key.as_bytes(), Duration::from_secs(3))
            .with_idempotency_key(&key)
    };
    let mut first_calls = JoinSet::new();
    for n in 0..20 {
        let (caller, call) = (Arc::clone(&caller), call(n));
        first_calls.spawn(async move { caller.call(&call).await });
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    site.take_node(&owner).unwrap().handle.kill().await;
    first_calls.join_all().await;
    let mut outcomes = BTreeMap::new();
    let deadline = Instant::now() + Duration::from_secs(16);
    while Instant::now() < deadline && (0..20).any(|n| outcomes.get(&n).is_none_or(is_not_run)) {
        let mut repeats = JoinSet::new();
        for n in 0..20 {
            let (caller, call) = (Arc::clone(&caller), call(n));
            repeats.spawn(async move { (n, caller.call(&call).await) });
        }
        for (n, answer) in repeats.join_all().await {
            outcomes.insert(n, answer.outcome);
        }
    }
    // Each key may run at most once, whichever request it ran for.
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in site.run_log().runs() {
        *runs.entry(run.label.request.to_string()).or_default() += 1;
    }
    assert!(site.run_log().total() <= 20, "{} runs of 20 keys: {runs:?}", site.run_log().total());
    assert!(!outcomes.values().any(is_not_run), "{outcomes:?}");
}

/// Whether the outcome is `NotRun`, after which the call may be sent again.
fn is_not_run(outcome: &Outcome) -> bool {
    *outcome == Outcome::NotRun
}
