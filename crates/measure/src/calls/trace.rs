//! The calls of a run, drawn in advance so that every policy gets the same ones.

use vg_base::prelude::*;
use vg_conf::Class;

use super::draw::Draw;
use super::site::Site;

/// Length of the spike of one queue, in seconds.
const SPIKE_SECS: f64 = 4.0;
/// Time from the end of the last queue's spike to the next spike of the first queue, in
/// seconds.
const CALM_SECS: f64 = 4.0;
/// Arrival rate between spikes as a fraction of that in a spike: a twentieth of the mean
/// rate over five times the mean rate.
const CALM_FRACTION: f64 = 0.05 / 5.0;
/// Load of a saturated pool as a multiple of its capacity.
const SATURATION_LOAD: f64 = 2.0;

/// One call.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Index in the complete trace.
    pub(crate) id: usize,
    /// Time of arrival since the start of the run.
    pub(crate) arrival: Duration,
    /// Index of the team.
    pub(crate) team: usize,
    /// Index of the queue.
    pub(crate) queue: usize,
    pub(crate) class: Class,
    /// Time from arrival until the answer is due.
    pub(crate) deadline: Duration,
    /// Actual run time.
    pub(crate) service: Duration,
    /// Run time that the caller declares.
    pub(crate) declared: Duration,
}

/// All calls of a run in the order of their arrival.
#[derive(Debug, Clone)]
pub(crate) struct Trace {
    pub(crate) calls: Vec<Call>,
    pub(crate) length: Duration,
}

impl Trace {
    /// Draws calls such that each queue in turn has a spike.
    pub(crate) fn spikes(site: &Site, seed: u64, seconds: u64) -> Trace {
        let mut draw = Draw::new(seed);
        let volumes: Vec<f64> = site.teams.iter().map(|team| team.volume).collect();
        let cycle = SPIKE_SECS * site.queues.len() as f64 + CALM_SECS;
        let mut calls = Vec::new();
        for (index, queue) in site.queues.iter().enumerate() {
            let peak = queue.spike * site.slots() as f64 / queue.service;
            let spike_start = SPIKE_SECS * index as f64;
            let mut time = draw.pause(peak);
            while time < seconds as f64 {
                let phase = time % cycle;
                let spiking = phase >= spike_start && phase < spike_start + SPIKE_SECS;
                if spiking || draw.unit() < CALM_FRACTION {
                    let team = draw.index(&volumes);
                    calls.push(draw_call(site, &mut draw, time, team, index, queue.class));
                }
                time += draw.pause(peak);
            }
        }
        Trace::from_calls(calls, seconds)
    }

    /// Draws calls such that every team always sends twice its share.
    ///
    /// The first team sends only urgent calls, the second splits its calls over all queues,
    /// and the others send background calls to one queue each.
    pub(crate) fn saturated(site: &Site, seed: u64, seconds: u64) -> Trace {
        let mut draw = Draw::new(seed);
        let shares: u32 = site.teams.iter().map(|team| team.share).sum();
        let urgent = queues_of(site, Class::Urgent);
        let background = queues_of(site, Class::Background);
        let all: Vec<usize> = (0..site.queues.len()).collect();
        let mut calls = Vec::new();
        for (index, team) in site.teams.iter().enumerate() {
            let single = [background[index % background.len()]];
            let queues: &[usize] = match index {
                0 => &urgent,
                1 => &all,
                _ => &single,
            };
            let share_fraction = f64::from(team.share) / f64::from(shares);
            let slots = SATURATION_LOAD * site.slots() as f64 * share_fraction;
            for &queue in queues {
                let rate = slots / queues.len() as f64 / site.queues[queue].service;
                let mut time = draw.pause(rate);
                while time < seconds as f64 {
                    calls.push(draw_call(
                        site,
                        &mut draw,
                        time,
                        index,
                        queue,
                        site.queues[queue].class,
                    ));
                    time += draw.pause(rate);
                }
            }
        }
        Trace::from_calls(calls, seconds)
    }

    /// Returns the trace without the background calls.
    pub(crate) fn urgent_only(&self) -> Trace {
        let calls = self.calls.iter().filter(|call| call.class == Class::Urgent);
        Trace { calls: calls.cloned().collect(), length: self.length }
    }

    /// Sorts calls by arrival and numbers them.
    fn from_calls(mut calls: Vec<Call>, seconds: u64) -> Trace {
        calls.sort_by_key(|call| call.arrival);
        calls.iter_mut().enumerate().for_each(|(id, call)| call.id = id);
        Trace { calls, length: Duration::from_secs(seconds) }
    }
}

/// Returns the indices of the queues of a class.
fn queues_of(site: &Site, class: Class) -> Vec<usize> {
    let queues = site.queues.iter().enumerate();
    queues.filter(|(_, queue)| queue.class == class).map(|(index, _)| index).collect()
}

/// Draws a call that arrives after `arrival` seconds.
fn draw_call(
    site: &Site,
    draw: &mut Draw,
    arrival: f64,
    team: usize,
    queue: usize,
    class: Class,
) -> Call {
    let service = draw.service(site.queues[queue].service);
    let declared = draw.declared(service);
    Call {
        id: 0,
        arrival: Duration::from_secs_f64(arrival),
        team,
        queue,
        class,
        deadline: site.queues[queue].deadline,
        service: Duration::from_secs_f64(service),
        declared: Duration::from_secs_f64(declared),
    }
}
