//! The subcommand `members`: measures heartbeats, their cost, and the size of the cluster
//! state.

use std::collections::BTreeSet;
use std::io::Write;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::RunKey;
use vg_peer::{Heartbeat, MemberRecord, MemberState, Membership, Timing, Transition};

use crate::Error;
use crate::report::{Table, percent};

/// Name of the subcommand.
pub const NAME: &str = "members";

/// Numbers of members that are measured. The last one is spread over two regions.
const MEMBER_COUNTS: [usize; 3] = [3, 9, 18];
/// Number of teams of the largest planned fleet.
const TEAMS: usize = 65;
/// Number of pools of the largest planned fleet.
const POOLS: usize = 54;
/// Limit of each team, in permits.
const TEAM_LIMIT: u32 = 120;
/// Step of simulated time.
const STEP: Duration = Duration::from_millis(100);
/// Number of starts that each node attempts per second.
const STARTS_PER_SECOND: u32 = 40;

/// Describes the subcommand.
pub fn command() -> Command {
    let seed = Arg::new("seed").long("seed").help("Seed of the random numbers").default_value("1");
    let seconds =
        Arg::new("seconds").long("seconds").help("Simulated time of each run, in seconds");
    Command::new(NAME)
        .about("Measures heartbeats between members, their cost, and the size of the cluster state")
        .arg(seed.value_parser(value_parser!(u64)))
        .arg(seconds.default_value("120").value_parser(value_parser!(u64).range(10..)))
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// If a message cannot be encoded or the report cannot be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(120);
    writeln!(
        out,
        "members: seed {seed}, {seconds} s of simulated time, {TEAMS} teams, {POOLS} pools"
    )?;
    let mut table = Table::new(&[
        "members",
        "heartbeats/s per node",
        "bytes per heartbeat",
        "largest",
        "bytes/s per node",
        "us per heartbeat",
        "% of a core",
        "state bytes",
        "state changes/s",
        "permit requests/s per node",
        "starts without a permit",
    ]);
    let mut figures = Vec::new();
    for members in MEMBER_COUNTS {
        let figure = Cluster::new(members, seed).run(seconds)?;
        table.row(&[
            &members,
            &format!("{:.1}", figure.heartbeats),
            &format!("{:.0}", figure.heartbeat_size),
            &figure.max_size,
            &format!("{:.0}", figure.bytes),
            &format!("{:.1}", figure.micros),
            &format!("{:.3}", figure.heartbeats * figure.micros / 1e4),
            &figure.state_size,
            &format!("{:.2}", figure.changes),
            &format!("{:.2}", figure.requests),
            &percent(figure.refused),
        ]);
        figures.push(figure);
    }
    table.write(out)?;
    write_slopes(&figures, out)
}

/// Writes the cost of one more member, from the smallest and the largest measured size.
fn write_slopes(figures: &[Figures], out: &mut impl Write) -> Result<(), Error> {
    let (Some(first), Some(last)) = (figures.first(), figures.last()) else {
        return Ok(());
    };
    let added_members = (MEMBER_COUNTS[MEMBER_COUNTS.len() - 1] - MEMBER_COUNTS[0]) as f64;
    let slope = |value: fn(&Figures) -> f64| (value(last) - value(first)) / added_members;
    writeln!(out, "  one more member: {:.0} bytes/s per node", slope(|each| each.bytes))?;
    writeln!(
        out,
        "  one more member: {:.0} bytes of cluster state",
        slope(|each| each.state_size as f64)
    )?;
    Ok(())
}

/// The figures for one number of members. Unless stated otherwise, a rate is that of one node
/// and covers what the node sends and receives.
#[derive(Debug)]
struct Figures {
    /// Heartbeats per second.
    heartbeats: f64,
    /// Bytes per second of heartbeats and of permit requests with their replies.
    bytes: f64,
    /// Mean size of a heartbeat in bytes.
    heartbeat_size: f64,
    /// Size of the largest heartbeat in bytes.
    max_size: usize,
    /// Microseconds to create, encode, decode and process a heartbeat.
    micros: f64,
    /// Size of the encoded cluster state in bytes.
    state_size: usize,
    /// Changes of the cluster state per second, made by all nodes.
    changes: f64,
    /// Permit requests per second that a node sends and that get a reply.
    requests: f64,
    /// Fraction of the starts that found no idle permit at their node.
    refused: f64,
}

/// Counts over all nodes.
#[derive(Debug, Default)]
struct Tally {
    heartbeats: u64,
    bytes: u64,
    /// Bytes of the heartbeats alone.
    heartbeat_bytes: u64,
    max_size: usize,
    /// Time to create, encode, decode and process the heartbeats.
    cost: Duration,
    changes: u64,
    requests: u64,
    starts: u64,
    refused: u64,
}

/// The members of a simulated cluster, whose messages are delivered at once.
#[derive(Debug)]
struct Cluster {
    nodes: Vec<Membership>,
    /// Running work of each node, with its end.
    runs: Vec<Vec<(RunKey, Instant)>>,
    teams: Vec<TeamId>,
    now: Instant,
    rng: SmallRng,
    tally: Tally,
}

impl Cluster {
    /// Returns a cluster whose members have not joined yet.
    fn new(members: usize, seed: u64) -> Cluster {
        let nodes =
            (0..members).map(|index| Membership::new(member(index), Timing::default())).collect();
        Cluster {
            nodes,
            runs: (0..members).map(|_| Vec::new()).collect(),
            teams: names("team-of-some-name", TEAMS),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            tally: Tally::default(),
        }
    }

    /// Runs the cluster and returns the figures of the time after the warm-up.
    fn run(mut self, seconds: u64) -> Result<Figures, Error> {
        self.join();
        self.run_steps(WARM_UP_STEPS)?;
        self.tally = Tally::default();
        self.run_steps(seconds * 10)?;
        let (tally, seconds) = (&self.tally, seconds as f64);
        // Each message is sent by one node and received by another.
        let per_node = |total: u64| 2.0 * total as f64 / self.nodes.len() as f64 / seconds;
        let state = self.nodes[0].cluster_state().encode();
        let state = state.map_err(|error| Error::Argument { what: error.to_string() })?;
        Ok(Figures {
            heartbeats: per_node(tally.heartbeats),
            bytes: per_node(tally.bytes),
            heartbeat_size: tally.heartbeat_bytes as f64 / tally.heartbeats as f64,
            max_size: tally.max_size,
            micros: tally.cost.as_secs_f64() * 1e6 / tally.heartbeats as f64,
            state_size: state.len(),
            changes: tally.changes as f64 / seconds,
            requests: per_node(tally.requests) / 2.0,
            refused: tally.refused as f64 / tally.starts as f64,
        })
    }

    /// Sets the lists and makes all members join in one change.
    fn join(&mut self) {
        let limits = self.teams.iter().cloned().map(|team| (team, Permits(TEAM_LIMIT))).collect();
        let pools = names("pool-of-some-name", POOLS).into_iter().collect();
        let mut changes = vec![Transition::SetLists { revision: Revision(1), limits, pools }];
        let count = self.nodes.len();
        let joins = (0..count).map(|index| Transition::Join {
            member: member(index),
            record: member_record(index, count),
        });
        changes.extend(joins);
        self.commit(0, &changes);
    }

    /// Applies transitions at one node and delivers the new cluster state to all nodes.
    fn commit(&mut self, index: usize, changes: &[Transition]) {
        let Some(state) = self.nodes[index].apply_transitions(changes) else {
            return;
        };
        self.tally.changes += 1;
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.apply(now, &state, true));
    }

    /// Runs a number of steps: leases, transitions, work, permit requests and heartbeats.
    fn run_steps(&mut self, steps: u64) -> Result<(), Error> {
        let present: BTreeSet<Member> = self.nodes.iter().map(|node| node.me().clone()).collect();
        for _ in 0..steps {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                let now = self.now;
                let node = &mut self.nodes[index];
                node.authority_mut().note_lease(now, Timing::default().lease_ttl);
                node.authority_mut().note_revision(now, Revision(1));
                node.note_leases(now, &present);
                let changes = node.due_transitions(now);
                self.commit(index, &changes);
                self.update_work(index);
                self.request_permits(index)?;
                self.exchange_heartbeats(index)?;
            }
        }
        Ok(())
    }

    /// Starts and finishes work of a node. A few teams start most of it.
    fn update_work(&mut self, index: usize) {
        let now = self.now;
        for (key, _) in self.runs[index].extract_if(.., |(_, end)| *end <= now) {
            self.nodes[index].permits_mut().finish(key);
        }
        for _ in 0..STARTS_PER_SECOND / 10 {
            let uniform = self.rng.random_range(0.0..1.0_f64);
            let team_index = ((uniform * uniform) * self.teams.len() as f64) as usize;
            let team = self.teams[team_index.min(self.teams.len() - 1)].clone();
            let run_time = Duration::from_millis(self.rng.random_range(200..4000));
            let node = &mut self.nodes[index];
            self.tally.starts += 1;
            match node.try_start(now, &team, Permits(1)) {
                Ok(key) => {
                    node.permits_mut().set_wanted(&team, Permits::ZERO);
                    self.runs[index].push((key, now + run_time));
                }
                Err(_) => {
                    self.tally.refused += 1;
                    node.permits_mut().set_wanted(&team, Permits(1));
                }
            }
        }
    }

    /// Requests permits that a node wants from its peers and applies their replies.
    fn request_permits(&mut self, index: usize) -> Result<(), Error> {
        for request in self.nodes[index].permit_requests() {
            let to = self.nodes.iter().position(|node| *node.me() == request.to);
            let reply = to.and_then(|to| self.nodes[to].answer_permits(&request));
            let Some(reply) = reply else { continue };
            self.tally.requests += 1;
            self.tally.bytes += (encode(&request)?.len() + encode(&reply)?.len()) as u64;
            self.nodes[index].receive_permits(&reply);
        }
        Ok(())
    }

    /// Sends the heartbeats of a node that are due. Each peer answers with its own heartbeat.
    fn exchange_heartbeats(&mut self, index: usize) -> Result<(), Error> {
        let now = self.now;
        for peer in self.nodes[index].heartbeats_due(now) {
            let to = self.nodes.iter().position(|node| *node.me() == peer);
            let Some(to) = to else { continue };
            self.send_heartbeat(index, to)?;
            self.send_heartbeat(to, index)?;
        }
        Ok(())
    }

    /// Sends one heartbeat and measures its cost.
    fn send_heartbeat(&mut self, from: usize, to: usize) -> Result<(), Error> {
        let (now, started) = (self.now, Instant::now());
        let peer = self.nodes[to].me().clone();
        let heartbeat = self.nodes[from].heartbeat(now, &peer, timestamp());
        let bytes = encode(&heartbeat)?;
        let heartbeat: Heartbeat = rmp_serde::from_slice(&bytes)
            .map_err(|error| Error::Argument { what: error.to_string() })?;
        self.nodes[to].receive(now, &heartbeat);
        self.tally.cost += started.elapsed();
        self.tally.heartbeats += 1;
        self.tally.bytes += bytes.len() as u64;
        self.tally.heartbeat_bytes += bytes.len() as u64;
        self.tally.max_size = self.tally.max_size.max(bytes.len());
        Ok(())
    }
}

/// Number of steps that are not counted. After these steps, the voters and the distribution of
/// permits are stable.
const WARM_UP_STEPS: u64 = 300;

/// Encodes a message as the peers do.
fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = rmp_serde::to_vec_named(message);
    bytes.map_err(|error| Error::Argument { what: error.to_string() })
}

/// Returns a timestamp with a realistic encoded size.
fn timestamp() -> Stamp {
    Stamp { micros: 1_790_000_000_000_000, count: 1 }
}

/// Returns the member with an index.
fn member(index: usize) -> Member {
    let incarnation = Incarnation(1_790_000_000_000_000 + index as u64);
    Member { node: indexed_name("entry", index), incarnation }
}

/// Returns the record of a member. Half of the members of the largest cluster are in a second
/// region.
fn member_record(index: usize, count: usize) -> MemberRecord {
    let region = usize::from(count == MEMBER_COUNTS[2] && index >= count / 2);
    MemberRecord {
        peer_addr: ([127, 0, 0, 1], 7001).into(),
        call_addr: ([127, 0, 0, 1], 7000).into(),
        zone: indexed_name("zone", index % 3 + 3 * region),
        region: indexed_name("region", region),
        state: MemberState::Live,
    }
}

/// Returns `count` names of a kind.
fn names<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, count: usize) -> Vec<T> {
    (0..count).map(|index| indexed_name(kind, index)).collect()
}

/// Returns the name of a kind with an index.
fn indexed_name<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, index: usize) -> T {
    format!("{kind}-{index:02}").parse().expect("a kind and a number are a valid name")
}
