//! The merged time line.

use std::fmt::Write;

use serde::Serialize;
use vg_events::{Event, Level, Window};

use super::Filter;
use super::missing::{Missing, spans};
use crate::output::{Printable, Report, Style, utc_micros};

/// Events of several processes in one order, and what is missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct TimeLine {
    /// The shown events: causes stand before their effects.
    pub(crate) events: Vec<Event>,
    /// What the time line lacks, whatever the filter.
    pub(crate) missing: Vec<Missing>,
}

impl TimeLine {
    /// Merges windows. Two windows of one process may overlap.
    pub(crate) fn new(
        windows: Vec<Window>,
        mut missing: Vec<Missing>,
        filter: &Filter,
    ) -> TimeLine {
        for window in &windows {
            missing.extend(spans(window));
        }
        let requests = filter.requests(windows.iter().flat_map(|window| &window.events));
        let events = windows.into_iter().flat_map(|window| window.events);
        let mut events: Vec<Event> =
            events.filter(|event| filter.takes(event, &requests)).collect();
        events.sort_by(|a, b| key(a).cmp(&key(b)));
        events.dedup_by(|a, b| a.source == b.source && a.serial == b.serial);
        TimeLine { events, missing }
    }
}

fn key(event: &Event) -> (vg_events::Stamp, &str, u64) {
    (event.stamp, &event.source, event.serial)
}

impl Report for TimeLine {
    fn text(&self, style: Style) -> String {
        let mut text = String::new();
        for event in &self.events {
            let time = utc_micros(event.stamp.micros);
            let code = event.code.to_string();
            let code = match event.code.level() {
                Level::Error => style.bad(&code),
                Level::Warn => style.warn(&code),
                Level::Info | Level::Debug => code,
            };
            // Writing to a String can't fail.
            let _ = write!(text, "{time} {} {code}", Printable(&event.source));
            for field in &event.fields {
                let (name, value) = (Printable(&field.name), Printable(&field.value));
                let _ = write!(text, " {name}={value}");
            }
            text.push('\n');
        }
        for missing in &self.missing {
            text += &format!("{}: {missing}\n", style.warn("missing"));
        }
        text
    }
}
