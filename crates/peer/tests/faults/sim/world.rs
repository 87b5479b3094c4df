//! Nodes, store and network, and how they go on.

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

const STEP: Duration = Duration::from_millis(100);
const STORE_PERIOD: Duration = Duration::from_millis(400);
const RUN_MAX: Duration = Duration::from_secs(20);
/// Rounds of five seconds after which everything has to be back.
const SETTLE_ROUNDS: u64 = 16;
const POOLS: [&str; 3] = ["p", "q", "r"];

pub(crate) fn timing() -> Timing {
    Timing { attempt_max: RUN_MAX, outage_max: Duration::from_secs(120), ..Timing::default() }
}

#[derive(Debug, Clone)]
enum Message {
    Beat(Heartbeat),
    Reply(Heartbeat),
    Ask(PermitRequest),
    Give(PermitReply),
}

impl Message {
    fn ends(&self) -> (&Member, &Member) {
        match self {
            Message::Beat(each) | Message::Reply(each) => (&each.from, &each.to),
            Message::Ask(each) => (&each.from, &each.to),
            Message::Give(each) => (&each.from, &each.to),
        }
    }
}

/// The whole simulation.
#[derive(Debug)]
pub(crate) struct World<F: PeerFaults> {
    at: Duration,
    base: Instant,
    pub(crate) store: Store,
    oracle: Oracle,
    processes: Vec<Option<Process<F>>>,
    incarnations: u64,
    network: Vec<Message>,
    store_up: bool,
    slow: bool,
    store_cut: BTreeSet<usize>,
    links_cut: BTreeSet<(usize, usize)>,
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
            slow: false,
            store_cut: BTreeSet::new(),
            links_cut: BTreeSet::new(),
            pools: POOLS.iter().map(|pool| pool.parse().unwrap()).collect(),
            teams,
        };
        world.oracle.committed.insert(Revision(1), Duration::ZERO);
        for index in 0..NODES - 1 {
            world.spawn(index);
        }
        world
    }

    /// Runs a whole sequence and lets everything settle.
    pub(crate) fn run_all(&mut self, ops: &[Op]) -> Result<(), Violation> {
        ops.iter().try_for_each(|op| self.apply(op))?;
        self.settle()
    }

    pub(crate) fn apply(&mut self, op: &Op) -> Result<(), Violation> {
        match *op {
            Op::Run { steps, seed, loss, load } => self.run(steps, seed, loss, load)?,
            Op::Crash(index) => self.processes[index] = None,
            Op::Start(index) if self.processes[index].is_none() => self.spawn(index),
            Op::Start(_) => {}
            Op::Restart(index) => self.spawn(index),
            Op::Pause(index) => self.set_paused(index, true),
            Op::Wake(index) => {
                self.set_paused(index, false);
                self.start_work(index, 0, 1, RUN_MAX)?;
            }
            Op::Leave(index) => self.leave(index),
            Op::Store { node, reachable: true } => drop(self.store_cut.remove(&node)),
            Op::Store { node, reachable: false } => drop(self.store_cut.insert(node)),
            Op::StoreAll { up } => self.store_up = up,
            Op::Slow(slow) => self.slow = slow,
            Op::Link { a, b, open: true } => drop(self.links_cut.remove(&(a.min(b), a.max(b)))),
            Op::Link { a, b, open: false } => drop(self.links_cut.insert((a.min(b), a.max(b)))),
            Op::Mend => self.mend(),
            Op::Limit { team, limit } => self.set_limit(team, limit),
            Op::PeerBook { from, to } => self.hand_book(from, to),
        }
        self.check()
    }

    /// Ends all faults, lets everything settle and checks that all units and
    /// pools are in use again.
    fn settle(&mut self) -> Result<(), Violation> {
        self.mend();
        for index in 0..NODES {
            self.set_paused(index, false);
            if self.processes[index].is_none() {
                self.spawn(index);
            }
        }
        let mut outcome = Ok(());
        for round in 0..SETTLE_ROUNDS {
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
        if self.dispatched() < self.pools.len() {
            return fail("a pool has no dispatcher".to_owned());
        }
        for team in self.teams.clone() {
            let live = self.processes.iter().flatten();
            let held = live.filter_map(|each| each.node.permits().holding(&team));
            let held: u32 = held.map(|holding| holding.held().get()).sum();
            let free = self.store.cluster_state.ledger.free(&team).get();
            let limit = self.store.cluster_state.ledger.limit(&team).get();
            if held + free != limit {
                return fail(format!("{team}: {held} held, {free} free of {limit}"));
            }
        }
        Ok(())
    }

    fn spawn(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let me = Member { node: node_id(index), incarnation };
        // Clocks run up to 2 % apart.
        let rate = [1000, 1010, 990, 1008, 994][index];
        self.processes[index] = Some(Process {
            node: Membership::with_faults(me, timing()),
            paused: false,
            leaving: false,
            runs: Vec::new(),
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
            process.node.leave();
        }
    }

    fn mend(&mut self) {
        self.store_up = true;
        self.slow = false;
        self.store_cut.clear();
        self.links_cut.clear();
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

    fn hand_book(&mut self, from: usize, to: usize) {
        let Some(giver) = self.processes[from].as_ref().filter(|each| !each.paused) else {
            return;
        };
        let (cluster_state, revision) =
            (giver.node.cluster_state().clone(), giver.node.authority().revision());
        let at = self.at;
        if let Some(process) = self.processes[to].as_mut().filter(|each| !each.paused) {
            let now = process.now(at);
            process.node.apply(now, &cluster_state, false);
            process.node.set_revision(revision);
        }
    }

    fn run(&mut self, steps: u16, seed: u64, loss: u8, load: u8) -> Result<(), Violation> {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..steps {
            self.at += STEP;
            if self.store_up {
                self.store.expire(self.at);
            }
            self.run_late(&mut rng);
            for index in 0..NODES {
                self.store_step(index, &mut rng);
                self.tick(index, &mut rng, load)?;
            }
            self.deliver(&mut rng, loss);
            self.check()?;
        }
        Ok(())
    }

    fn run_late(&mut self, rng: &mut SmallRng) {
        if !self.store_up {
            return;
        }
        let mut at = 0;
        while at < self.store.late.len() {
            if rng.random_ratio(1, 4) {
                let commit = self.store.late.swap_remove(at);
                if rng.random_ratio(3, 4) {
                    self.store.commit(commit, self.at, timing().lease_ttl);
                }
            } else {
                at += 1;
            }
        }
    }

    fn tick(&mut self, index: usize, rng: &mut SmallRng, load: u8) -> Result<(), Violation> {
        let at = self.at;
        let Some(process) = self.processes[index].as_mut().filter(|each| !each.paused) else {
            return Ok(());
        };
        let now = process.now(at);
        process.finish_runs(at);
        process.stop_pools();
        if process.leaving {
            process.node.depart();
        }
        for to in process.node.heartbeats_due(now) {
            let beat = process.node.heartbeat(now, &to, Stamp::default());
            self.network.push(Message::Beat(beat));
        }
        self.network.extend(process.node.permit_requests().into_iter().map(Message::Ask));
        for team in 0..TEAMS {
            if rng.random_range(0..100) < load {
                let weight = rng.random_range(1..3);
                let length = RUN_MAX.mul_f64(rng.random_range(0.05..1.0));
                self.start_work(index, team, weight, length)?;
            }
        }
        Ok(())
    }

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
        let Ok(key) = process.node.try_start(now, &team, Permits(weight)) else {
            process.node.permits_mut().set_wanted(&team, Permits(weight));
            return Ok(());
        };
        process.node.permits_mut().set_wanted(&team, Permits::ZERO);
        process.runs.push((key, at + length));
        let epoch = process.node.permits().epoch();
        self.oracle.start(at, &self.store, epoch, (team, weight, at + length))
    }

    fn deliver(&mut self, rng: &mut SmallRng, loss: u8) {
        let mut waiting = std::mem::take(&mut self.network);
        while !waiting.is_empty() {
            let message = waiting.swap_remove(rng.random_range(0..waiting.len()));
            let (from, to) = message.ends();
            let (a, b) = (index_of(from), index_of(to));
            let cut = self.links_cut.contains(&(a.min(b), a.max(b)));
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
            waiting.extend(self.take_in(b, message));
        }
        // A process that stays paused doesn't collect messages without end.
        let excess = self.network.len().saturating_sub(200);
        self.network.drain(..excess);
    }

    fn take_in(&mut self, index: usize, message: Message) -> Option<Message> {
        let at = self.at;
        let process = self.processes[index].as_mut()?;
        let now = process.now(at);
        match message {
            Message::Beat(beat) => {
                process.node.receive(now, &beat);
                let reply = process.node.heartbeat(now, &beat.from, Stamp::default());
                Some(Message::Reply(reply))
            }
            Message::Reply(beat) => {
                process.node.receive(now, &beat);
                None
            }
            Message::Ask(request) => process.node.answer_permits(&request).map(Message::Give),
            Message::Give(reply) => {
                process.node.receive_permits(&reply);
                None
            }
        }
    }

    fn store_step(&mut self, index: usize, rng: &mut SmallRng) {
        let reachable = self.store_up && !self.store_cut.contains(&index);
        let (at, ttl) = (self.at, timing().lease_ttl);
        let Some(process) = self.processes[index].as_mut().filter(|each| !each.paused) else {
            return;
        };
        if !reachable || at < process.next_store {
            return;
        }
        process.next_store = at + STORE_PERIOD;
        let now = process.now(at);
        let me = process.node.me().clone();
        let renewed = self.store.renew(&me, at, ttl);
        if self.slow && rng.random_ratio(1, 4) {
            // The answer is lost.
            return;
        }
        if renewed {
            process.node.authority_mut().note_lease(now, ttl);
        } else {
            process.node.authority_mut().note_expiry();
        }
        process.node.note_leases(now, &self.store.present());
        process.node.apply(now, &self.store.cluster_state, true);
        process.node.authority_mut().note_revision(now, self.store.revision);
        process.node.set_revision(self.store.revision);
        let joined = self.store.cluster_state.member_state(&me).is_some();
        if process.node.is_retired() || (!joined && process.leaving) {
            // Fenced: the process ends and a new one takes its place.
            self.spawn(index);
            return;
        }
        self.propose(index, renewed, rng);
    }

    fn propose(&mut self, index: usize, renewed: bool, rng: &mut SmallRng) {
        let (at, ttl) = (self.at, timing().lease_ttl);
        let (teams, pools) = (self.limits(), self.pools.iter().cloned().collect());
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        let now = process.now(at);
        let me = process.node.me().clone();
        let base = self.store.cluster_state.epoch;
        let mut changes = process.node.due_transitions(now);
        if self.store.cluster_state.member_state(&me).is_none() {
            changes.push(Transition::Join { member: me.clone(), record: record(index) });
        }
        if self.store.cluster_state.ledger.revision < self.store.revision {
            let (limits, revision) = (teams, self.store.revision);
            changes.push(Transition::SetLists { revision, limits, pools });
        }
        let cluster_state = process.node.apply_transitions(&changes);
        let put = (!renewed).then(|| me.clone());
        if cluster_state.is_none() && put.is_none() {
            return;
        }
        let cluster_state = cluster_state.unwrap_or_else(|| self.store.cluster_state.clone());
        let commit =
            Commit { base, cluster_state, absent: Transition::fenced_members(&changes), put };
        if self.slow && rng.random_ratio(1, 2) {
            self.store.late.push(commit);
            return;
        }
        let put = commit.put.is_some();
        let done = self.store.commit(commit, at, ttl);
        if !done || (self.slow && rng.random_ratio(1, 3)) {
            return;
        }
        process.node.apply(now, &self.store.cluster_state, true);
        if put {
            process.node.authority_mut().note_lease(now, ttl);
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
    pub(crate) fn dispatched(&self) -> usize {
        let acts = |pool: &&PoolId| {
            let mut live = self.processes.iter().flatten();
            live.any(|each| each.node.may_dispatch(each.now(self.at), pool))
        };
        self.pools.iter().filter(acts).count()
    }

    fn check_dispatchers(&self) -> Result<(), Violation> {
        for pool in &self.pools {
            let awake = self.processes.iter().flatten().filter(|each| !each.paused);
            let acting = awake.filter(|each| each.node.may_dispatch(each.now(self.at), pool));
            let members: Vec<Member> = acting.map(|each| each.node.me().clone()).collect();
            if members.len() > 1 {
                return Err(Violation::TwoDispatchers { pool: pool.clone(), members });
            }
        }
        Ok(())
    }

    fn check_revisions(&mut self) -> Result<(), Violation> {
        for process in self.processes.iter().flatten() {
            let latest = self.store.revision;
            if process.node.view().is_accepted(latest) {
                self.oracle.announce(latest, self.at);
            }
        }
        let Some((latest, announced)) = self.oracle.announced else {
            return Ok(());
        };
        // Statements made before a peer had the revision count for the grace.
        // Clocks that run slow stretch the times.
        let since = self.oracle.committed[&latest];
        let confirmed = since + timing().config_ttl.mul_f64(1.03);
        let bound = confirmed.max(announced + timing().report_ttl.mul_f64(1.03));
        for process in self.processes.iter().flatten().filter(|each| !each.paused) {
            let revision = process.node.authority().revision();
            let fresh = process.node.authority().check_fresh(process.now(self.at)).is_ok();
            if fresh && revision < latest && self.at > bound {
                let member = process.node.me().clone();
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
