//! Which events to show.

use clap::ArgMatches;
use vg_events::Event;

/// Conditions that all hold for a shown event.
#[derive(Debug, Clone, Default)]
pub(crate) struct Filter {
    /// Fields with their values.
    fields: Vec<(&'static str, String)>,
    /// Host or entry host.
    host: Option<String>,
}

impl Filter {
    /// Reads the conditions from the command line.
    pub(crate) fn read(matches: &ArgMatches) -> Filter {
        let names = ["request", "team", "revision"];
        let given = |name| matches.get_one::<String>(name).map(|text| (name, text.clone()));
        let fields = names.into_iter().filter_map(given).collect();
        Filter { fields, host: matches.get_one::<String>("host").cloned() }
    }

    /// Whether an event is shown.
    pub(crate) fn takes(&self, event: &Event) -> bool {
        let fits = |(name, value): &(&str, String)| event.field(name) == Some(value);
        self.fields.iter().all(fits) && self.host.as_ref().is_none_or(|host| is_of(event, host))
    }
}

/// Fields that name a host, or an entry host with its incarnation.
const HOST_FIELDS: [&str; 5] = ["host", "node", "member", "endpoint", "worker"];

fn is_of(event: &Event, host: &str) -> bool {
    let is_host = |text: &str| text.split('/').next() == Some(host);
    is_host(&event.source) || HOST_FIELDS.into_iter().filter_map(|f| event.field(f)).any(is_host)
}
