//! A simulation of hosts, dispatchers, a store and two entry hosts that compete for
//! the role of the planner.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::faults::FleetFaults;
use vg_fleet::{
    Change, CommitOutcome, HEAD_KEY, HostCommand, HostRecord, HostReport, HostState, Limits,
    ListedHost, Planner, Records, Transition, WallTime, WriteContext, claim, read_hosts,
};

use crate::op::{Op, StoreReply};
use crate::oracle::{PlannerInput, Violation};
use crate::store::FakeStore;

const ZONES: usize = 3;
const RACKS: usize = 9;
const HOSTS: usize = 18;

struct Host {
    id: HostId,
    zone: ZoneId,
    rack: RackId,
    up: bool,
    listed: bool,
    boot: u64,
    running: u32,
    closed_version: Option<u64>,
    /// Version of the record and pool of the last set-up.
    set_up: (u64, Option<PoolId>),
    /// The record as the dispatcher last read it.
    view: Option<HostRecord>,
}

struct Node<F> {
    member: Member,
    planner: Planner<F>,
    records: Option<Records>,
}

pub(crate) struct World<F> {
    store: FakeStore,
    hosts: Vec<Host>,
    pools: Vec<Pool>,
    listed: Vec<ListedHost>,
    reports: Vec<HostReport>,
    nodes: [Node<F>; 2],
    now: SystemTime,
    /// Store revision and records at the last check of the store.
    last_checked: (i64, BTreeMap<HostId, HostRecord>),
}

impl<F: FleetFaults> World<F> {
    pub(crate) fn new() -> World<F> {
        let pools = [("bakery", 6, 3), ("dairy", 6, 3), ("admin", 6, 4)];
        let mut world = World {
            store: FakeStore::default(),
            hosts: (0..HOSTS).map(new_host).collect(),
            pools: pools.into_iter().map(new_pool).collect(),
            listed: Vec::new(),
            reports: Vec::new(),
            nodes: [new_node("e1"), new_node("e2")],
            now: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
            last_checked: (0, BTreeMap::new()),
        };
        world.refresh_list();
        for _ in 0..8 {
            world.claim(0, StoreReply::Given);
            world.tick(0, 1, true).expect("no fault yet");
        }
        world
    }

    pub(crate) fn run_all(&mut self, ops: &[Op]) -> Result<(), Violation> {
        ops.iter().try_for_each(|op| self.run(op))
    }

    pub(crate) fn run(&mut self, op: &Op) -> Result<(), Violation> {
        self.apply(op)?;
        self.check_store()
    }

    /// Ends all faults and checks that no host is forgotten or stuck: a host that is
    /// not active must have changed its state within the last two hours.
    pub(crate) fn heal(&mut self) -> Result<(), Violation> {
        self.pools.iter_mut().for_each(|pool| pool.hold = false);
        self.store.apply_delayed();
        for _ in 0..40 {
            for host in &mut self.hosts {
                (host.up, host.listed, host.running) = (true, true, 0);
            }
            self.refresh_list();
            self.claim(0, StoreReply::Given);
            self.tick(0, 10, true)?;
            self.check_store()?;
        }
        let stored = self.stored();
        for host in &self.hosts {
            let Some(record) = stored.get(&host.id) else {
                return Err(format!("{} is forgotten", host.id));
            };
            let stuck =
                WallTime::from(self.now).since(record.since) > Duration::from_secs(2 * 3600);
            if record.state != HostState::Active && stuck {
                return Err(format!("{} stays {}", host.id, record.state));
            }
        }
        Ok(())
    }

    fn apply(&mut self, op: &Op) -> Result<(), Violation> {
        match *op {
            Op::Claim(node, reply) => self.claim(node, reply),
            Op::Plan(node, reply) => self.plan(node, reply)?,
            Op::Deliver(node) => self.deliver(node)?,
            Op::SyncDispatchers => self.sync_dispatchers(),
            Op::RefreshReports => self.refresh_reports(),
            Op::RefreshList => self.refresh_list(),
            Op::StartWork(host) => self.start_work(host % HOSTS)?,
            Op::FinishWork(host) => self.hosts[host % HOSTS].running = 0,
            Op::Fail(host) => self.fail(|index, _| index == host % HOSTS),
            Op::FailRack(rack) => self.fail(|index, _| index % RACKS == rack % RACKS),
            Op::FailZone(zone) => self.fail(|index, _| index % ZONES == zone % ZONES),
            Op::RecoverAll => self.hosts.iter_mut().for_each(recover),
            Op::Recover(host) => recover(&mut self.hosts[host % HOSTS]),
            Op::Remove(index) => {
                let host = &mut self.hosts[index % HOSTS];
                (host.listed, host.up, host.running) = (false, false, 0);
            }
            Op::ApplyDelayed => self.store.apply_delayed(),
            Op::Advance(minutes) => self.advance(minutes),
            Op::Tick(node, minutes, deliver) => self.tick(node, minutes, deliver)?,
            Op::PlanOnStaleReports(node) => self.plan_on_stale_reports(node)?,
            Op::ToggleHold(pool) => self.pools[pool].hold ^= true,
            Op::SetPoolHosts(pool, hosts) => self.pools[pool].hosts = hosts,
        }
        Ok(())
    }

    fn advance(&mut self, minutes: u64) {
        self.now += Duration::from_secs(60 * minutes);
    }

    /// Lets a planner plan on old reports while dispatchers start work.
    fn plan_on_stale_reports(&mut self, node: usize) -> Result<(), Violation> {
        for _ in 0..3 {
            self.plan(node, StoreReply::Given)?;
            (0..HOSTS).try_for_each(|host| self.start_work(host))?;
        }
        self.deliver(node)
    }

    /// Advances the time, updates all information except for the host list, and lets a
    /// planner plan. Delivers its commands if `deliver` is set. Then all hosts that
    /// were not removed are up again, including those that were rebooted.
    fn tick(&mut self, node: usize, minutes: u64, deliver: bool) -> Result<(), Violation> {
        self.advance(minutes);
        self.sync_dispatchers();
        self.refresh_reports();
        self.plan(node, StoreReply::Given)?;
        if deliver {
            self.deliver(node)?;
        }
        for host in &mut self.hosts {
            host.up |= host.listed;
        }
        Ok(())
    }

    /// Lets an entry host claim the role of the planner and read the records.
    fn claim(&mut self, node: usize, reply: StoreReply) {
        let member = self.nodes[node].member.clone();
        let head = self.store.get(&HEAD_KEY).cloned();
        let batch = claim(&member, head.as_ref()).expect("the head can be read");
        self.store.commit(&batch, reply);
        self.nodes[node].records = Records::recover(&member, &self.store.all()).ok();
    }

    /// Lets a planner plan, checks its transitions and commits its batch.
    fn plan(&mut self, node_index: usize, reply: StoreReply) -> Result<(), Violation> {
        let node = &mut self.nodes[node_index];
        let Some(records) = &mut node.records else { return Ok(()) };
        if !records.has_pending() {
            let before = records.hosts().clone();
            let transitions =
                node.planner.plan(&self.pools, &self.listed, &self.reports, records, self.now);
            let input = PlannerInput { listed: &self.listed, reports: &self.reports };
            let now = WallTime::from(self.now);
            check_transitions(
                &input,
                &self.pools,
                before,
                &transitions,
                records.write_context(now),
            )?;
        }
        let Some(batch) = records.batch().expect("records can be encoded") else { return Ok(()) };
        let commit = self.store.commit(&batch, reply);
        let mut outcome = records.handle_commit(batch.id, commit);
        if outcome == CommitOutcome::ReadHead && reply == StoreReply::Given {
            let head = self.store.get(&HEAD_KEY).expect("a head was written");
            outcome = records.handle_head(head).expect("the head can be read");
        }
        if outcome == CommitOutcome::Fenced {
            node.records = None;
        }
        Ok(())
    }

    /// Executes the commands of a planner on the hosts. No host may be rebooted
    /// while it runs work.
    fn deliver(&mut self, node: usize) -> Result<(), Violation> {
        let Some(records) = &self.nodes[node].records else { return Ok(()) };
        for command in records.commands() {
            match command {
                HostCommand::Close { host, version } => {
                    let host = find_host(&mut self.hosts, &host);
                    host.closed_version = host.closed_version.max(Some(version));
                }
                HostCommand::Reboot { host, boot, .. } => {
                    let host = find_host(&mut self.hosts, &host);
                    if host.up && host.boot == boot.get() {
                        if host.running > 0 {
                            return Err(format!("{} was rebooted while it ran work", host.id));
                        }
                        host.boot += 1;
                        host.up = false;
                    }
                }
                HostCommand::SetUp { host, version, pool } => {
                    let host = find_host(&mut self.hosts, &host);
                    if version > host.set_up.0 {
                        host.set_up = (version, Some(pool));
                    }
                }
                HostCommand::Probe { .. } => {}
            }
        }
        Ok(())
    }

    /// Updates the records that the dispatchers know.
    fn sync_dispatchers(&mut self) {
        let stored = self.stored();
        for host in &mut self.hosts {
            host.view = stored.get(&host.id).cloned();
        }
    }

    fn refresh_reports(&mut self) {
        let report = |host: &Host| HostReport {
            host: host.id.clone(),
            up: host.up,
            boot: Incarnation(host.boot),
            running: host.running,
            remaining: Duration::from_secs(60 * u64::from(host.running)),
            closed_version: host.closed_version,
            verified_version: host.view.as_ref().map(|view| view.version),
            pool: host.set_up.1.clone(),
        };
        self.reports = self.hosts.iter().map(report).collect();
    }

    fn refresh_list(&mut self) {
        let listed = |host: &Host| ListedHost {
            host: host.id.clone(),
            pool: None,
            zone: host.zone.clone(),
            rack: host.rack.clone(),
            leaving: false,
        };
        self.listed = self.hosts.iter().filter(|host| host.listed).map(listed).collect();
    }

    /// Starts work on a host if the record that its dispatcher knows, which may be
    /// out of date, allows it.
    fn start_work(&mut self, index: usize) -> Result<(), Violation> {
        let host = &mut self.hosts[index];
        let Some(view) = host.view.clone().filter(|view| view.state == HostState::Active) else {
            return Ok(());
        };
        if !host.up || host.closed_version.is_some_and(|closed| closed >= view.version) {
            return Ok(());
        }
        host.running += 1;
        let id = host.id.clone();
        match self.stored().get(&id) {
            Some(record) if record.pool != view.pool => {
                Err(format!("{id} starts work of {} and is in {}", view.pool, record.pool))
            }
            _ => Ok(()),
        }
    }

    /// Takes down the hosts that `which` selects, which ends their work.
    fn fail(&mut self, which: impl Fn(usize, &Host) -> bool) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if which(index, host) {
                (host.up, host.running) = (false, 0);
            }
        }
    }

    fn stored(&self) -> BTreeMap<HostId, HostRecord> {
        read_hosts(&self.store.all()).expect("the records can be read")
    }

    /// Checks the records in the store after a change: no record gets an earlier
    /// version, and no host changes its pool while it runs work.
    fn check_store(&mut self) -> Result<(), Violation> {
        if self.last_checked.0 == self.store.revision() {
            return Ok(());
        }
        let after = self.stored();
        for (id, old) in &self.last_checked.1 {
            let Some(new) = after.get(id) else { continue };
            if new.epoch < old.epoch || new.version < old.version {
                return Err(format!("{id} went back to an earlier version"));
            }
            let host = self.hosts.iter().find(|host| host.id == *id);
            if new.pool != old.pool && host.is_some_and(|host| host.running > 0) {
                return Err(format!("{id} moved while it ran work"));
            }
        }
        self.last_checked = (self.store.revision(), after);
        Ok(())
    }
}

/// Checks that each drain leaves a margin for the next loss of a rack or zone, that
/// no drain continues without a margin, and that no host in the host list is
/// forgotten.
fn check_transitions(
    input: &PlannerInput<'_>,
    pools: &[Pool],
    mut hosts: BTreeMap<HostId, HostRecord>,
    transitions: &[Transition],
    context: WriteContext,
) -> Result<(), Violation> {
    for transition in transitions {
        let old = hosts.get(&transition.host).cloned();
        let new = transition.apply(old.as_ref(), context).map_err(|error| error.to_string())?;
        match new {
            Some(record) => hosts.insert(transition.host.clone(), record),
            None => hosts.remove(&transition.host),
        };
        if transition.change == Change::Forget && input.is_listed(&transition.host) {
            return Err(format!("{} is listed and is forgotten", transition.host));
        }
        let Change::Drain(_) = transition.change else { continue };
        let pool = old.and_then(|old| pools.iter().find(|pool| pool.id == old.pool));
        if let Some(pool) = pool.filter(|pool| input.margin(&hosts, pool) < 0) {
            return Err(format!("{transition} leaves {} no margin", pool.id));
        }
    }
    for pool in pools.iter().filter(|pool| input.margin(&hosts, pool) < 0) {
        let drained = |each: &&HostRecord| {
            let draining = matches!(each.state, HostState::Draining(_) | HostState::Empty(_));
            draining && each.pool == pool.id && input.is_present(&each.host)
        };
        if let Some(record) = hosts.values().find(drained) {
            return Err(format!("{} stays drained without a margin", record.host));
        }
    }
    Ok(())
}

fn recover(host: &mut Host) {
    if !host.up {
        host.boot += 1;
        (host.up, host.listed) = (true, true);
    }
}

fn find_host<'a>(hosts: &'a mut [Host], id: &HostId) -> &'a mut Host {
    hosts.iter_mut().find(|host| host.id == *id).expect("commands name known hosts")
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

fn new_host(index: usize) -> Host {
    Host {
        id: name(&format!("h{index:02}")),
        zone: name(&format!("z{}", index % ZONES)),
        rack: name(&format!("r{}", index % RACKS)),
        up: true,
        listed: true,
        boot: 1,
        running: 0,
        closed_version: None,
        set_up: (0, None),
        view: None,
    }
}

fn new_pool((id, hosts, budget): (&str, u32, u32)) -> Pool {
    Pool {
        id: name(id),
        hosts,
        zones: Vec::new(),
        budget,
        zone_spare: id == "dairy",
        period: Duration::from_secs(6 * 24 * 3600),
        spare: id == "admin",
        hold: false,
    }
}

fn new_node<F: FleetFaults>(node: &str) -> Node<F> {
    let member = Member { node: name(node), incarnation: Incarnation(1) };
    let limits =
        Limits { failed_fraction: 0.5, wave_start: 0.8, wave_floor: 0.3, ..Limits::default() };
    Node { member, planner: Planner::with_faults(limits), records: None }
}
