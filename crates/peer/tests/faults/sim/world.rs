//! The simulation: nodes, store and network, and how they advance in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::{PermitReply, PermitRequest};
use vg_peer::faults::PeerFaults;
use vg_peer::{ClusterState, Heartbeat, MemberRecord, MemberState, Membership, Timing, Transition};

use super::op::{NODES, Op, TEAMS};
use super::oracle::{Oracle, Violation};
use super::process::Process;
use super::store::{Commit, Store};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(100);
/// Period in which each process calls the store.
const STORE_PERIOD: Duration = Duration::from_millis(400);
/// Longest duration of an attempt.
const ATTEMPT_MAX: Duration = Duration::from_secs(20);
/// Number of rounds of five seconds after which everything must have recovered.
const RECOVERY_ROUNDS: u64 = 16;
const POOLS: [&str; 3] = ["p", "q", "r"];

pub(crate) fn timing() -> Timing {
    Timing { attempt_max: ATTEMPT_MAX, outage_max: Duration::from_secs(120), ..Timing::default() }
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(Heartbeat),
    Reply(Heartbeat),
    PermitRequest(PermitRequest),
    PermitReply(PermitReply),
}

impl Message {
    fn sender_and_receiver(&self) -> (&Member, &Member) {
        match self {
            Message::Heartbeat(each) | Message::Reply(each) => (&each.from, &each.to),
            Message::PermitRequest(each) => (&each.from, &each.to),
            Message::PermitReply(each) => (&each.from, &each.to),
        }
    }
}

/// The whole simulation.
#[derive(Debug)]
pub(crate) struct World<F: PeerFaults> {
    /// Simulated time.
    at: Duration,
    /// What the clocks of all processes show at the start of simulated time.
    base: Instant,
    pub(crate) store: Store,
    oracle: Oracle,
    processes: Vec<Option<Process<F>>>,
    incarnations: u64,
    /// Messages in transit.
    network: Vec<Message>,
    store_up: bool,
    /// Whether the store delays commits and loses answers.
    store_slow: bool,
    cut_off_nodes: BTreeSet<usize>,
    cut_links: BTreeSet<(usize, usize)>,
    pools: Vec<PoolId>,
    teams: Vec<TeamId>,
}

pub(crate) fn node_id(index: usize) -> NodeId {
    format!("n{index}").parse().unwrap()
}

fn index_of(member: &Member) -> usize {
    member.node.as_str()[1..].parse().unwrap()
}

impl<F: PeerFaults> World<F> {
    pub(crate) fn new() -> World<F> {
        let teams: Vec<TeamId> = (0..TEAMS).map(|i| format!("t{i}").parse().unwrap()).collect();
        let limits: BTreeMap<TeamId, Permits> =
            teams.iter().cloned().zip([Permits(7), Permits(3)]).collect();
        let mut store = Store { revision: Revision(1), ..Store::default() };
        store.limits.insert(Revision(1), limits);
        store.history.insert(Epoch::ZERO, ClusterState::default());
        let mut world = World {
            at: Duration::from_secs(1000),
            base: Instant::now(),
            store,
            oracle: Oracle::default(),
            processes: (0..NODES).map(|_| None).collect(),
            incarnations: 0,
            network: Vec::new(),
            store_up: true,
            store_slow: false,
            cut_off_nodes: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            pools: POOLS.iter().map(|pool| pool.parse().unwrap()).collect(),
            teams,
        };
        world.oracle.committed.insert(Revision(1), Duration::ZERO);
        for index in 0..NODES - 1 {
            world.spawn(index);
        }
        world
    }

    /// Applies a whole sequence, then ends all faults and checks that everything recovers.
    pub(crate) fn run_all(&mut self, ops: &[Op]) -> Result<(), Violation> {
        ops.iter().try_for_each(|op| self.apply(op))?;
        self.recover()
    }

    pub(crate) fn apply(&mut self, op: &Op) -> Result<(), Violation> {
        match *op {
            Op::Run { steps, seed, loss, load } => self.run(steps, seed, loss, load)?,
            Op::Crash(index) => self.processes[index] = None,
            Op::Start(index) if self.processes[index].is_none() => self.spawn(index),
            Op::Start(_) => {}
            Op::Restart(index) => self.spawn(index),
            Op::Pause(index) => self.set_paused(index, true),
            Op::Resume(index) => {
                self.set_paused(index, false);
                self.start_work(index, 0, 1, ATTEMPT_MAX)?;
            }
            Op::Leave(index) => self.leave(index),
            Op::Store { node, reachable: true } => drop(self.cut_off_nodes.remove(&node)),
            Op::Store { node, reachable: false } => drop(self.cut_off_nodes.insert(node)),
            Op::StoreAll { up } => self.store_up = up,
            Op::SlowStore(slow) => self.store_slow = slow,
            Op::Link { a, b, open: true } => drop(self.cut_links.remove(&(a.min(b), a.max(b)))),
            Op::Link { a, b, open: false } => drop(self.cut_links.insert((a.min(b), a.max(b)))),
            Op::Repair => self.repair(),
            Op::Limit { team, limit } => self.set_limit(team, limit),
            Op::CopyState { from, to } => self.copy_state(from, to),
        }
        self.check()
    }

    /// Ends all faults, waits until everything has recovered, and checks that all permits and
    /// pools are in use again.
    fn recover(&mut self) -> Result<(), Violation> {
        self.repair();
        for index in 0..NODES {
            self.set_paused(index, false);
            if self.processes[index].is_none() {
                self.spawn(index);
            }
        }
        let mut outcome = Ok(());
        for round in 0..RECOVERY_ROUNDS {
            for index in 0..NODES {
                if self.processes[index].as_ref().is_some_and(|process| process.leaving) {
                    self.spawn(index);
                }
            }
            self.run(50, round, 0, 0)?;
            outcome = self.check_recovered();
            if outcome.is_ok() {
                break;
            }
        }
        outcome
    }

    /// Checks that all members are live and voters, that each pool has a dispatcher, and that
    /// each permit is either held by a running process or free.
    fn check_recovered(&mut self) -> Result<(), Violation> {
        let fail = |what: String| Err(Violation::NotRecovered { what });
        let cluster_state = &self.store.cluster_state;
        if let Some((member, record)) =
            cluster_state.members.iter().find(|(_, record)| record.state != MemberState::Live)
        {
            return fail(format!("{member} is {:?}", record.state));
        }
        let voters: BTreeSet<NodeId> =
            cluster_state.members.keys().map(|each| each.node.clone()).collect();
        if voters != cluster_state.voters || voters.len() != NODES {
            return fail(format!("voters {:?}", cluster_state.voters));
        }
        if self.dispatched_pools() < self.pools.len() {
            return fail("a pool has no dispatcher".to_owned());
        }
        for team in self.teams.clone() {
            let live = self.processes.iter().flatten();
            let held = live.filter_map(|each| each.membership.permits().holding(&team));
            let held: u32 = held.map(|holding| holding.held().get()).sum();
            let free = self.store.cluster_state.ledger.free(&team).get();
            let limit = self.store.cluster_state.ledger.limit(&team).get();
            if held + free != limit {
                return fail(format!("{team}: {held} permits held, {free} free of {limit}"));
            }
        }
        Ok(())
    }

    fn spawn(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let me = Member { node: node_id(index), incarnation };
        // The rates of the clocks differ by up to 2 %.
        let rate = [1000, 1010, 990, 1008, 994][index];
        self.processes[index] = Some(Process {
            membership: Membership::with_faults(me, timing()),
            paused: false,
            leaving: false,
            attempts: Vec::new(),
            next_store: Duration::ZERO,
            rate,
            base: self.base,
        });
    }

    fn set_paused(&mut self, index: usize, paused: bool) {
        if let Some(process) = &mut self.processes[index] {
            process.paused = paused;
        }
    }

    fn leave(&mut self, index: usize) {
        if let Some(process) = &mut self.processes[index] {
            process.leaving = true;
            process.membership.leave();
        }
    }

    fn repair(&mut self) {
        self.store_up = true;
        self.store_slow = false;
        self.cut_off_nodes.clear();
        self.cut_links.clear();
    }

    fn set_limit(&mut self, team: usize, limit: u32) {
        if !self.store_up {
            return;
        }
        let mut limits = self.store.limits[&self.store.revision].clone();
        limits.insert(self.teams[team].clone(), Permits(limit));
        self.store.revision = self.store.revision.next();
        self.store.limits.insert(self.store.revision, limits);
        self.oracle.committed.insert(self.store.revision, self.at);
    }

    /// Passes the cluster state and the revision of one process to another one.
    fn copy_state(&mut self, from: usize, to: usize) {
        let Some(source) = self.processes[from].as_ref().filter(|each| !each.paused) else {
            return;
        };
        let (cluster_state, revision) =
            (source.membership.cluster_state().clone(), source.membership.authority().revision());
        let at = self.at;
        if let Some(process) = self.processes[to].as_mut().filter(|each| !each.paused) {
            let now = process.now(at);
            process.membership.apply(now, &cluster_state, false);
            process.membership.set_revision(revision);
        }
    }

    fn run(&mut self, steps: u16, seed: u64, loss: u8, load: u8) -> Result<(), Violation> {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..steps {
            self.at += STEP;
            if self.store_up {
                self.store.expire(self.at);
            }
            self.run_delayed_commits(&mut rng);
            for index in 0..NODES {
                self.store_step(index, &mut rng);
                self.tick(index, &mut rng, load)?;
            }
            self.deliver(&mut rng, loss);
            self.check()?;
        }
        Ok(())
    }

    /// Ends each delayed commit with the probability 1/4; 3/4 of these reach the store.
    fn run_delayed_commits(&mut self, rng: &mut SmallRng) {
        if !self.store_up {
            return;
        }
        let mut at = 0;
        while at < self.store.delayed_commits.len() {
            if rng.random_ratio(1, 4) {
                let commit = self.store.delayed_commits.swap_remove(at);
                if rng.random_ratio(3, 4) {
                    self.store.commit(commit, self.at, timing().lease_ttl);
                }
            } else {
                at += 1;
            }
        }
    }

    /// Does one step of a process, apart from its calls of the store.
    fn tick(&mut self, index: usize, rng: &mut SmallRng, load: u8) -> Result<(), Violation> {
        let at = self.at;
        let Some(process) = self.processes[index].as_mut().filter(|each| !each.paused) else {
            return Ok(());
        };
        let now = process.now(at);
        process.finish_attempts(at);
        process.stop_released_pools();
        if process.leaving {
            process.membership.depart();
        }
        for to in process.membership.heartbeats_due(now) {
            let heartbeat = process.membership.heartbeat(now, &to, Stamp::default());
            self.network.push(Message::Heartbeat(heartbeat));
        }
        self.network
            .extend(process.membership.permit_requests().into_iter().map(Message::PermitRequest));
        for team in 0..TEAMS {
            if rng.random_range(0..100) < load {
                let weight = rng.random_range(1..3);
                let length = ATTEMPT_MAX.mul_f64(rng.random_range(0.05..1.0));
                self.start_work(index, team, weight, length)?;
            }
        }
        Ok(())
    }

    /// Tries to start an attempt. If that is refused, the process wants the permits from now
    /// on.
    fn start_work(
        &mut self,
        index: usize,
        team: usize,
        weight: u32,
        length: Duration,
    ) -> Result<(), Violation> {
        let (at, team) = (self.at, self.teams[team].clone());
        let Some(process) = self.processes[index].as_mut().filter(|each| !each.paused) else {
            return Ok(());
        };
        let now = process.now(at);
        let Ok(key) = process.membership.try_start(now, &team, Permits(weight)) else {
            process.membership.permits_mut().set_wanted(&team, Permits(weight));
            return Ok(());
        };
        process.membership.permits_mut().set_wanted(&team, Permits::ZERO);
        process.attempts.push((key, at + length));
        let epoch = process.membership.permits().epoch();
        self.oracle.start_attempt(at, &self.store, epoch, (team, weight, at + length))
    }

    /// Delivers the messages in transit in random order, with the faults of the network.
    fn deliver(&mut self, rng: &mut SmallRng, loss: u8) {
        let mut waiting = std::mem::take(&mut self.network);
        while !waiting.is_empty() {
            let message = waiting.swap_remove(rng.random_range(0..waiting.len()));
            let (from, to) = message.sender_and_receiver();
            let (a, b) = (index_of(from), index_of(to));
            let cut = self.cut_links.contains(&(a.min(b), a.max(b)));
            let gone = self.processes[b].is_none();
            if cut || gone || rng.random_range(0..200) < loss {
                continue;
            }
            let paused = self.processes[b].as_ref().is_some_and(|each| each.paused);
            if paused || rng.random_range(0..100) < loss {
                self.network.push(message);
                continue;
            }
            if rng.random_range(0..200) < loss {
                self.network.push(message.clone());
            }
            waiting.extend(self.handle_message(b, message));
        }
        // A process that stays paused must not accumulate messages without bound.
        let excess = self.network.len().saturating_sub(200);
        self.network.drain(..excess);
    }

    fn handle_message(&mut self, index: usize, message: Message) -> Option<Message> {
        let at = self.at;
        let process = self.processes[index].as_mut()?;
        let now = process.now(at);
        match message {
            Message::Heartbeat(heartbeat) => {
                process.membership.receive(now, &heartbeat);
                let reply = process.membership.heartbeat(now, &heartbeat.from, Stamp::default());
                Some(Message::Reply(reply))
            }
            Message::Reply(heartbeat) => {
                process.membership.receive(now, &heartbeat);
                None
            }
            Message::PermitRequest(request) => {
                process.membership.answer_permits(&request).map(Message::PermitReply)
            }
            Message::PermitReply(reply) => {
                process.membership.receive_permits(&reply);
                None
            }
        }
    }

    /// Lets a process renew its lease and read from the store, if it is due and the store is
    /// within reach.
    fn store_step(&mut self, index: usize, rng: &mut SmallRng) {
        let reachable = self.store_up && !self.cut_off_nodes.contains(&index);
        let (at, ttl) = (self.at, timing().lease_ttl);
        let Some(process) = self.processes[index].as_mut().filter(|each| !each.paused) else {
            return;
        };
        if !reachable || at < process.next_store {
            return;
        }
        process.next_store = at + STORE_PERIOD;
        let now = process.now(at);
        let me = process.membership.me().clone();
        let renewed = self.store.renew(&me, at, ttl);
        if self.store_slow && rng.random_ratio(1, 4) {
            // The answer of the store is lost.
            return;
        }
        if renewed {
            process.membership.authority_mut().note_lease(now, ttl);
        } else {
            process.membership.authority_mut().note_expiry();
        }
        process.membership.note_leases(now, &self.store.present());
        process.membership.apply(now, &self.store.cluster_state, true);
        process.membership.authority_mut().note_revision(now, self.store.revision);
        process.membership.set_revision(self.store.revision);
        let joined = self.store.cluster_state.member_state(&me).is_some();
        if process.membership.is_retired() || (!joined && process.leaving) {
            // A retired member never acts again, and neither does a process that leaves before
            // it has joined: the process ends and a new one replaces it.
            self.spawn(index);
            return;
        }
        self.propose(index, renewed, rng);
    }

    /// Commits the due transitions of a process, and its leased key if it has none.
    fn propose(&mut self, index: usize, renewed: bool, rng: &mut SmallRng) {
        let (at, ttl) = (self.at, timing().lease_ttl);
        let (teams, pools) = (self.limits(), self.pools.iter().cloned().collect());
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        let now = process.now(at);
        let me = process.membership.me().clone();
        let base = self.store.cluster_state.epoch;
        let mut transitions = process.membership.due_transitions(now);
        if self.store.cluster_state.member_state(&me).is_none() {
            transitions.push(Transition::Join { member: me.clone(), record: record(index) });
        }
        if self.store.cluster_state.ledger.revision < self.store.revision {
            let (limits, revision) = (teams, self.store.revision);
            transitions.push(Transition::SetLists { revision, limits, pools });
        }
        let cluster_state = process.membership.apply_transitions(&transitions);
        let put = (!renewed).then(|| me.clone());
        if cluster_state.is_none() && put.is_none() {
            return;
        }
        let cluster_state = cluster_state.unwrap_or_else(|| self.store.cluster_state.clone());
        let commit =
            Commit { base, cluster_state, absent: Transition::fenced_members(&transitions), put };
        if self.store_slow && rng.random_ratio(1, 2) {
            self.store.delayed_commits.push(commit);
            return;
        }
        let put = commit.put.is_some();
        let committed = self.store.commit(commit, at, ttl);
        if !committed || (self.store_slow && rng.random_ratio(1, 3)) {
            return;
        }
        process.membership.apply(now, &self.store.cluster_state, true);
        if put {
            process.membership.authority_mut().note_lease(now, ttl);
        }
    }

    fn limits(&self) -> BTreeMap<TeamId, Permits> {
        self.store.limits[&self.store.revision].clone()
    }

    fn check(&mut self) -> Result<(), Violation> {
        self.oracle.check_grants(&self.store)?;
        self.check_dispatchers()?;
        self.check_revisions()
    }

    /// Returns the number of pools that some process dispatches.
    pub(crate) fn dispatched_pools(&self) -> usize {
        let acts = |pool: &&PoolId| {
            let mut live = self.processes.iter().flatten();
            live.any(|each| each.membership.may_dispatch(each.now(self.at), pool))
        };
        self.pools.iter().filter(acts).count()
    }

    /// Checks that at most one process dispatches each pool.
    fn check_dispatchers(&self) -> Result<(), Violation> {
        for pool in &self.pools {
            let awake = self.processes.iter().flatten().filter(|each| !each.paused);
            let acting = awake.filter(|each| each.membership.may_dispatch(each.now(self.at), pool));
            let members: Vec<Member> = acting.map(|each| each.membership.me().clone()).collect();
            if members.len() > 1 {
                return Err(Violation::TwoDispatchers { pool: pool.clone(), members });
            }
        }
        Ok(())
    }

    /// Checks that no process treats an earlier revision as current once a later one has been
    /// announced for long enough.
    fn check_revisions(&mut self) -> Result<(), Violation> {
        for process in self.processes.iter().flatten() {
            let latest = self.store.revision;
            if process.membership.view().is_accepted(latest) {
                self.oracle.announce(latest, self.at);
            }
        }
        let Some((latest, announced)) = self.oracle.announced else {
            return Ok(());
        };
        // The earlier revision may have been confirmed until the later one was committed, and
        // stays current for the TTL of the configuration. Status reports that peers made before
        // they had the later revision stay valid for the TTL of reports. Slow clocks extend both
        // times by less than 3 %.
        let since = self.oracle.committed[&latest];
        let confirmed = since + timing().config_ttl.mul_f64(1.03);
        let bound = confirmed.max(announced + timing().report_ttl.mul_f64(1.03));
        for process in self.processes.iter().flatten().filter(|each| !each.paused) {
            let revision = process.membership.authority().revision();
            let fresh = process.membership.authority().check_fresh(process.now(self.at)).is_ok();
            if fresh && revision < latest && self.at > bound {
                let member = process.membership.me().clone();
                return Err(Violation::StaleRevision { member, revision, latest });
            }
        }
        Ok(())
    }
}

fn record(index: usize) -> MemberRecord {
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
    MemberRecord {
        peer_addr: addr,
        call_addr: addr,
        zone: format!("z{}", index % 3).parse().unwrap(),
        region: format!("r{}", index / 3).parse().unwrap(),
        state: MemberState::Live,
    }
}
