//! Membership: heartbeats, their cost, and the size of the book.

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

/// Sizes that are measured, the last of them with two regions.
const SIZES: [usize; 3] = [3, 9, 18];
const TEAMS: usize = 65;
const POOLS: usize = 54;
const LIMIT_UNITS: u32 = 120;
const STEP: Duration = Duration::from_millis(100);
/// Starts that each node tries a second.
const STARTS_A_SECOND: u32 = 40;

/// Describes the subcommand.
pub fn command() -> Command {
    let seed = Arg::new("seed").long("seed").help("Seed of all draws").default_value("1");
    let seconds = Arg::new("seconds").long("seconds").help("Model time of each run, in seconds");
    Command::new(NAME)
        .about("Heartbeats between members, their cost, and the size of the book")
        .arg(seed.value_parser(value_parser!(u64)))
        .arg(seconds.default_value("120").value_parser(value_parser!(u64).range(10..)))
}

/// Runs the measurement and prints its report.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(120);
    writeln!(out, "members: seed {seed}, {seconds} s of model time, {TEAMS} teams, {POOLS} pools")?;
    let mut table = Table::new(&[
        "members",
        "heartbeats/s of a node",
        "bytes a heartbeat",
        "largest",
        "bytes/s of a node",
        "us a heartbeat",
        "% of a core",
        "book bytes",
        "book changes/s",
        "unit requests/s of a node",
        "starts without units",
    ]);
    let mut figures = Vec::new();
    for members in SIZES {
        let figure = Site::new(members, seed).run(seconds)?;
        table.row(&[
            &members,
            &format!("{:.1}", figure.messages),
            &format!("{:.0}", figure.beat),
            &figure.largest,
            &format!("{:.0}", figure.bytes),
            &format!("{:.1}", figure.micros),
            &format!("{:.3}", figure.messages * figure.micros / 1e4),
            &figure.book,
            &format!("{:.2}", figure.changes),
            &format!("{:.2}", figure.requests),
            &percent(figure.refused),
        ]);
        figures.push(figure);
    }
    table.write(out)?;
    slopes(&figures, out)
}

/// Writes what one member more costs, from the least to the greatest size.
fn slopes(figures: &[Figures], out: &mut impl Write) -> Result<(), Error> {
    let (Some(first), Some(last)) = (figures.first(), figures.last()) else {
        return Ok(());
    };
    let more = (SIZES[SIZES.len() - 1] - SIZES[0]) as f64;
    let slope = |value: fn(&Figures) -> f64| (value(last) - value(first)) / more;
    writeln!(out, "  one member more: {:.0} bytes/s of a node", slope(|each| each.bytes))?;
    writeln!(out, "  one member more: {:.0} bytes of the book", slope(|each| each.book as f64))?;
    Ok(())
}

/// What one size gave; counts are of one node, sent and received.
#[derive(Debug)]
struct Figures {
    messages: f64,
    /// Of heartbeats and unit requests with their replies.
    bytes: f64,
    /// Mean size of a heartbeat.
    beat: f64,
    largest: usize,
    /// To make, encode, decode and take in a message.
    micros: f64,
    book: usize,
    changes: f64,
    requests: f64,
    /// Part of the starts that found no idle unit at their node.
    refused: f64,
}

#[derive(Debug, Default)]
struct Tally {
    messages: u64,
    bytes: u64,
    /// Bytes of the heartbeats alone.
    beats: u64,
    largest: usize,
    cost: Duration,
    changes: u64,
    requests: u64,
    starts: u64,
    refused: u64,
}

#[derive(Debug)]
struct Site {
    nodes: Vec<Membership>,
    runs: Vec<Vec<(RunKey, Instant)>>,
    teams: Vec<TeamId>,
    now: Instant,
    rng: SmallRng,
    tally: Tally,
}

impl Site {
    fn new(members: usize, seed: u64) -> Site {
        let nodes =
            (0..members).map(|index| Membership::new(member(index), Timing::default())).collect();
        Site {
            nodes,
            runs: (0..members).map(|_| Vec::new()).collect(),
            teams: names("team-of-some-name", TEAMS),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            tally: Tally::default(),
        }
    }

    fn run(mut self, seconds: u64) -> Result<Figures, Error> {
        self.join();
        self.steps(WARM_UP_STEPS)?;
        self.tally = Tally::default();
        self.steps(seconds * 10)?;
        let (tally, seconds) = (&self.tally, seconds as f64);
        // Each message is sent by one node and received by another.
        let each = |total: u64| 2.0 * total as f64 / self.nodes.len() as f64 / seconds;
        let book = self.nodes[0].cluster_state().encode();
        let book = book.map_err(|error| Error::Argument { what: error.to_string() })?;
        Ok(Figures {
            messages: each(tally.messages),
            bytes: each(tally.bytes),
            beat: tally.beats as f64 / tally.messages as f64,
            largest: tally.largest,
            micros: tally.cost.as_secs_f64() * 1e6 / tally.messages as f64,
            book: book.len(),
            changes: tally.changes as f64 / seconds,
            requests: each(tally.requests) / 2.0,
            refused: tally.refused as f64 / tally.starts as f64,
        })
    }

    fn join(&mut self) {
        let limits = self.teams.iter().cloned().map(|team| (team, Permits(LIMIT_UNITS))).collect();
        let pools = names("pool-of-some-name", POOLS).into_iter().collect();
        let mut changes = vec![Transition::SetLists { revision: Revision(1), limits, pools }];
        let count = self.nodes.len();
        let joins = (0..count)
            .map(|index| Transition::Join { member: member(index), record: record(index, count) });
        changes.extend(joins);
        self.commit(0, &changes);
    }

    fn commit(&mut self, at: usize, changes: &[Transition]) {
        let Some(book) = self.nodes[at].apply_transitions(changes) else {
            return;
        };
        self.tally.changes += 1;
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.apply(now, &book, true));
    }

    fn steps(&mut self, steps: u64) -> Result<(), Error> {
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
                self.work(index);
                self.ask(index)?;
                self.beat(index)?;
            }
        }
        Ok(())
    }

    /// Starts and finishes runs, a few teams with most of them.
    fn work(&mut self, index: usize) {
        let now = self.now;
        for (key, _) in self.runs[index].extract_if(.., |(_, end)| *end <= now) {
            self.nodes[index].permits_mut().finish(key);
        }
        for _ in 0..STARTS_A_SECOND / 10 {
            let drawn = self.rng.random_range(0.0..1.0_f64);
            let at = ((drawn * drawn) * self.teams.len() as f64) as usize;
            let team = self.teams[at.min(self.teams.len() - 1)].clone();
            let length = Duration::from_millis(self.rng.random_range(200..4000));
            let node = &mut self.nodes[index];
            self.tally.starts += 1;
            match node.try_start(now, &team, Permits(1)) {
                Ok(key) => {
                    node.permits_mut().set_wanted(&team, Permits::ZERO);
                    self.runs[index].push((key, now + length));
                }
                Err(_) => {
                    self.tally.refused += 1;
                    node.permits_mut().set_wanted(&team, Permits(1));
                }
            }
        }
    }

    /// Asks peers for units that are wanted here; they answer at once.
    fn ask(&mut self, index: usize) -> Result<(), Error> {
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

    fn beat(&mut self, index: usize) -> Result<(), Error> {
        let now = self.now;
        for peer in self.nodes[index].heartbeats_due(now) {
            let to = self.nodes.iter().position(|node| *node.me() == peer);
            let Some(to) = to else { continue };
            self.send(index, to)?;
            self.send(to, index)?;
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: usize) -> Result<(), Error> {
        let (now, start) = (self.now, Instant::now());
        let peer = self.nodes[to].me().clone();
        let beat = self.nodes[from].heartbeat(now, &peer, stamp());
        let bytes = encode(&beat)?;
        let beat: Heartbeat = rmp_serde::from_slice(&bytes)
            .map_err(|error| Error::Argument { what: error.to_string() })?;
        self.nodes[to].receive(now, &beat);
        self.tally.cost += start.elapsed();
        self.tally.messages += 1;
        self.tally.bytes += bytes.len() as u64;
        self.tally.beats += bytes.len() as u64;
        self.tally.largest = self.tally.largest.max(bytes.len());
        Ok(())
    }
}

/// Steps until the voters and the units have settled.
const WARM_UP_STEPS: u64 = 300;

fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = rmp_serde::to_vec_named(message);
    bytes.map_err(|error| Error::Argument { what: error.to_string() })
}

fn stamp() -> Stamp {
    Stamp { micros: 1_790_000_000_000_000, count: 1 }
}

fn member(index: usize) -> Member {
    let incarnation = Incarnation(1_790_000_000_000_000 + index as u64);
    Member { node: named("entry", index), incarnation }
}

fn record(index: usize, count: usize) -> MemberRecord {
    let region = usize::from(count == SIZES[2] && index >= count / 2);
    MemberRecord {
        peer_addr: ([127, 0, 0, 1], 7001).into(),
        call_addr: ([127, 0, 0, 1], 7000).into(),
        zone: named("zone", index % 3 + 3 * region),
        region: named("region", region),
        state: MemberState::Live,
    }
}

fn names<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, count: usize) -> Vec<T> {
    (0..count).map(|index| named(kind, index)).collect()
}

fn named<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, index: usize) -> T {
    format!("{kind}-{index:02}").parse().expect("a kind and a number are a valid name")
}
