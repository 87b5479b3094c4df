//! The filter for the events of the timeline.

use std::collections::BTreeSet;

use clap::ArgMatches;
use smol_str::SmolStr;
use vg_events::Event;

/// Event fields that name a host, or an entry host with its incarnation.
const HOST_FIELDS: [&str; 5] = ["host", "node", "member", "endpoint", "worker"];

/// The conditions for an event to be shown. An event must meet all that are given.
#[derive(Debug, Clone, Default)]
pub(crate) struct Filter {
    request: Option<String>,
    team: Option<String>,
    revision: Option<String>,
    /// Name of a host or entry host.
    host: Option<String>,
}

impl Filter {
    /// Reads the conditions from the command-line arguments.
    pub(crate) fn read(matches: &ArgMatches) -> Filter {
        let given = |name| matches.get_one::<String>(name).cloned();
        Filter {
            request: given("request"),
            team: given("team"),
            revision: given("revision"),
            host: given("host"),
        }
    }

    /// Returns the requests of the team in the filter, or none without a team. Only
    /// the first events of a request name its team.
    pub(crate) fn requests<'a>(
        &self,
        events: impl Iterator<Item = &'a Event>,
    ) -> BTreeSet<SmolStr> {
        let Some(team) = &self.team else { return BTreeSet::new() };
        let of_team = events.filter(|event| event.field("team") == Some(team));
        of_team.filter_map(|event| event.field("request").map(SmolStr::from)).collect()
    }

    /// Returns whether an event is shown. `requests` is the result of
    /// [`Filter::requests`].
    pub(crate) fn matches(&self, event: &Event, requests: &BTreeSet<SmolStr>) -> bool {
        let is = |name, wanted: &Option<String>| {
            wanted.as_ref().is_none_or(|wanted| event.field(name) == Some(wanted))
        };
        let of_request = event.field("request").is_some_and(|id| requests.contains(id));
        is("request", &self.request)
            && is("revision", &self.revision)
            && (is("team", &self.team) || of_request)
            && self.host.as_ref().is_none_or(|host| concerns_host(event, host))
    }
}

fn concerns_host(event: &Event, host: &str) -> bool {
    let is_host = |text: &str| text.split('/').next() == Some(host);
    let named = HOST_FIELDS.into_iter().filter_map(|name| event.field(name));
    is_host(&event.source) || named.into_iter().any(is_host)
}
