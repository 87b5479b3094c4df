//! Calls over model time, drawn ahead so that every policy sees the same.

use vg_base::prelude::*;
use vg_conf::Class;

use super::draw::Draw;
use super::site::Site;

/// Length of one queue's spike, in seconds.
const SPIKE_SECS: f64 = 4.0;
/// Time between the end of the last queue's spike and the first queue's next
/// one, in seconds.
const CALM_SECS: f64 = 4.0;
/// Arrivals between spikes, against those in a spike: a twentieth of the mean
/// against five times the mean.
const CALM_PART: f64 = 0.05 / 5.0;
/// Arrivals of a saturated pool, in parts of what it holds.
const SATURATION: f64 = 2.0;

/// One call.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) id: usize,
    /// When it comes, since the start of the run.
    pub(crate) at: Duration,
    pub(crate) team: usize,
    pub(crate) queue: usize,
    pub(crate) class: Class,
    /// Time from its coming to the end of its answer.
    pub(crate) deadline: Duration,
    pub(crate) service: Duration,
    pub(crate) declared: Duration,
}

/// All calls of a run by the time that they come.
#[derive(Debug, Clone)]
pub(crate) struct Trace {
    pub(crate) calls: Vec<Call>,
    pub(crate) length: Duration,
}

impl Trace {
    /// Each queue in turn spikes.
    pub(crate) fn spikes(site: &Site, seed: u64, seconds: u64) -> Trace {
        let mut draw = Draw::new(seed);
        let volumes: Vec<f64> = site.teams.iter().map(|team| team.volume).collect();
        let cycle = SPIKE_SECS * site.queues.len() as f64 + CALM_SECS;
        let mut calls = Vec::new();
        for (at, queue) in site.queues.iter().enumerate() {
            let peak = queue.spike * site.slots() as f64 / queue.service;
            let from = SPIKE_SECS * at as f64;
            let mut time = draw.pause(peak);
            while time < seconds as f64 {
                let phase = time % cycle;
                let spiking = phase >= from && phase < from + SPIKE_SECS;
                if spiking || draw.unit() < CALM_PART {
                    let team = draw.index(&volumes);
                    calls.push(call(site, &mut draw, time, team, at, queue.class));
                }
                time += draw.pause(peak);
            }
        }
        Trace::of(calls, seconds)
    }

    /// Every team sends more than its share, all the time.
    ///
    /// The first team marks everything urgent, the second splits its work over
    /// all queues, the others send background work to one queue each.
    pub(crate) fn saturated(site: &Site, seed: u64, seconds: u64) -> Trace {
        let mut draw = Draw::new(seed);
        let shares: u32 = site.teams.iter().map(|team| team.share).sum();
        let urgent = queues_of(site, Class::Urgent);
        let patient = queues_of(site, Class::Background);
        let all: Vec<usize> = (0..site.queues.len()).collect();
        let mut calls = Vec::new();
        for (at, team) in site.teams.iter().enumerate() {
            let one = [patient[at % patient.len()]];
            let queues: &[usize] = match at {
                0 => &urgent,
                1 => &all,
                _ => &one,
            };
            let part = f64::from(team.share) / f64::from(shares);
            let slots = SATURATION * site.slots() as f64 * part;
            for &queue in queues {
                let rate = slots / queues.len() as f64 / site.queues[queue].service;
                let mut time = draw.pause(rate);
                while time < seconds as f64 {
                    calls.push(call(site, &mut draw, time, at, queue, site.queues[queue].class));
                    time += draw.pause(rate);
                }
            }
        }
        Trace::of(calls, seconds)
    }

    /// Returns the same without background work.
    pub(crate) fn urgent_only(&self) -> Trace {
        let calls = self.calls.iter().filter(|call| call.class == Class::Urgent);
        Trace { calls: calls.cloned().collect(), length: self.length }
    }

    fn of(mut calls: Vec<Call>, seconds: u64) -> Trace {
        calls.sort_by_key(|call| call.at);
        calls.iter_mut().enumerate().for_each(|(id, call)| call.id = id);
        Trace { calls, length: Duration::from_secs(seconds) }
    }
}

fn queues_of(site: &Site, class: Class) -> Vec<usize> {
    let queues = site.queues.iter().enumerate();
    queues.filter(|(_, queue)| queue.class == class).map(|(at, _)| at).collect()
}

fn call(site: &Site, draw: &mut Draw, at: f64, team: usize, queue: usize, class: Class) -> Call {
    let service = draw.service(site.queues[queue].service);
    let declared = draw.declared(service);
    Call {
        id: 0,
        at: Duration::from_secs_f64(at),
        team,
        queue,
        class,
        deadline: site.queues[queue].deadline,
        service: Duration::from_secs_f64(service),
        declared: Duration::from_secs_f64(declared),
    }
}
