//! The merged timeline.

use std::fmt::Write;

use serde::Serialize;
use vg_events::{Event, Level, Window};

use super::Filter;
use super::missing::{Missing, missing_spans};
use crate::output::{Printable, Report, Style, utc_micros};

/// The events of several processes in one order, and what is missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Timeline {
    /// The shown events. Causes come before their effects.
    pub(crate) events: Vec<Event>,
    /// What the timeline lacks, regardless of the filter.
    pub(crate) missing: Vec<Missing>,
}

impl Timeline {
    /// Merges windows of events. Two windows of one process may overlap; their common
    /// events are shown once.
    pub(crate) fn new(
        windows: Vec<Window>,
        mut missing: Vec<Missing>,
        filter: &Filter,
    ) -> Timeline {
        for window in &windows {
            missing.extend(missing_spans(window));
        }
        let requests = filter.requests(windows.iter().flat_map(|window| &window.events));
        let events = windows.into_iter().flat_map(|window| window.events);
        let mut events: Vec<Event> =
            events.filter(|event| filter.matches(event, &requests)).collect();
        events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        events.dedup_by(|a, b| a.source == b.source && a.serial == b.serial);
        Timeline { events, missing }
    }
}

fn sort_key(event: &Event) -> (vg_events::Stamp, &str, u64) {
    (event.stamp, &event.source, event.serial)
}

impl Report for Timeline {
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
