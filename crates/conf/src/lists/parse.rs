//! Parsing and checking of both lists.

use std::collections::BTreeMap;
use std::str::FromStr;

use vg_base::prelude::*;

use crate::ini::{Diagnostic, Diagnostics, Section, SectionReader, scan};
use crate::lists::headers::Headers;
use crate::lists::{Access, KeyDigest, Lists, Plan, Pool, Queue, parsers};

/// Name of the list that holds the teams' plans, as in diagnostics.
pub const PLANS: &str = "plans";
/// Name of the list that holds the pools and queues, as in diagnostics.
pub const USES: &str = "uses";

/// Largest accepted list in bytes, so that both lists fit into one stored value.
pub const MAX_LIST_BYTES: usize = 320 * 1024;

/// Default of `period`: the time in which each host of a pool is maintained once.
const DEFAULT_PERIOD: Duration = Duration::from_secs(6 * 7 * 24 * 60 * 60);
/// Default of `bound`: the number of requests that may wait in a queue.
const DEFAULT_BOUND: u32 = 1000;

/// Parses both lists and checks them as a whole.
///
/// # Errors
///
/// Returns all diagnostics of both lists.
pub fn parse(plans: &str, uses: &str) -> Result<Lists, Diagnostics> {
    let mut diagnostics = Diagnostics::default();
    let plans = scan_list(PLANS, plans, &mut diagnostics);
    let uses = scan_list(USES, uses, &mut diagnostics);
    let plan_sections = Headers::new(&["plan"], &plans, &mut diagnostics);
    let use_sections = Headers::new(&["pool", "queue"], &uses, &mut diagnostics);
    let lists = Lists {
        plans: read_plans(&plan_sections, &mut diagnostics),
        pools: read_sections(use_sections.of_kind("pool"), |id, section| {
            read_pool(id, section, &mut diagnostics)
        }),
        queues: read_sections(use_sections.of_kind("queue"), |id, section| {
            let queue = read_queue(id, section, &mut diagnostics)?;
            check_references(&queue, section, &plan_sections, &use_sections, &mut diagnostics);
            Some(queue)
        }),
    };
    diagnostics.into_result(lists)
}

/// Splits a list into sections, unless it is longer than [`MAX_LIST_BYTES`].
fn scan_list(source: &'static str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Section> {
    if text.len() <= MAX_LIST_BYTES {
        return scan(source, text, diagnostics);
    }
    diagnostics.push(Diagnostic {
        source: source.into(),
        line: 0,
        section: SmolStr::default(),
        key: SmolStr::default(),
        problem: format!("the list has {} bytes", text.len()),
        accepted: format!("at most {MAX_LIST_BYTES} bytes"),
    });
    Vec::new()
}

/// Reads sections into a map by id. A section with invalid keys is left out.
fn read_sections<'a, K: FromStr + Ord + Clone, V>(
    sections: impl Iterator<Item = (&'a str, &'a Section)>,
    mut read: impl FnMut(K, &'a Section) -> Option<V>,
) -> BTreeMap<K, V> {
    let mut values = BTreeMap::new();
    for (name, section) in sections {
        // `Headers` has already checked the name.
        let Ok(id) = name.parse::<K>() else { continue };
        if let Some(value) = read(id.clone(), section) {
            values.insert(id, value);
        }
    }
    values
}

fn read_plans(headers: &Headers<'_>, diagnostics: &mut Diagnostics) -> BTreeMap<PlanId, Plan> {
    let mut assigned = AssignedOnce::default();
    read_sections(headers.of_kind("plan"), |id, section| {
        read_plan(id, section, &mut assigned, diagnostics)
    })
}

/// Teams and key digests seen so far, each of which may be in one plan only. Those
/// of plans with other invalid keys count, too.
#[derive(Debug, Default)]
struct AssignedOnce {
    teams: BTreeMap<TeamId, PlanId>,
    digests: BTreeMap<KeyDigest, PlanId>,
}

impl AssignedOnce {
    /// Records the team of a plan, or a diagnostic if another plan has it.
    fn assign_team(&mut self, team: &TeamId, plan: &PlanId, reader: &mut SectionReader<'_>) {
        if let Some(other) = self.teams.insert(team.clone(), plan.clone()) {
            let problem = format!("the team `{team}` already has the plan `{other}`");
            reader.report("team", problem, "one plan for each team");
        }
    }

    /// Records a key digest of a plan, or a diagnostic if another plan has it.
    fn assign_digest(&mut self, digest: KeyDigest, plan: &PlanId, reader: &mut SectionReader<'_>) {
        if let Some(other) = self.digests.insert(digest, plan.clone()) {
            let problem = format!("{digest} is also a key of the plan `{other}`");
            reader.report("keys", problem, "each key in one plan");
        }
    }
}

fn read_plan(
    id: PlanId,
    section: &Section,
    assigned: &mut AssignedOnce,
    diagnostics: &mut Diagnostics,
) -> Option<Plan> {
    let mut reader = SectionReader::new(section, diagnostics);
    let team = reader.required("team", &parsers::TEAM);
    let keys = reader.optional("keys", Vec::new(), &parsers::KEYS);
    let share = reader.required("share", &parsers::SHARE);
    let limit = reader.required("limit", &parsers::LIMIT);
    team.iter().for_each(|team| assigned.assign_team(team, &id, &mut reader));
    keys.iter().flatten().for_each(|&digest| assigned.assign_digest(digest, &id, &mut reader));
    reader.finish();
    Some(Plan { id, team: team?, keys: keys?, share: share?, limit: limit? })
}

fn read_pool(id: PoolId, section: &Section, diagnostics: &mut Diagnostics) -> Option<Pool> {
    let mut reader = SectionReader::new(section, diagnostics);
    let hosts = reader.required("hosts", &parsers::COUNT);
    let zones = reader.optional("zones", Vec::new(), &parsers::ZONES);
    let budget = reader.required("budget", &parsers::BUDGET);
    let zone_spare = reader.optional("zone-spare", false, &parsers::FLAG);
    let period = reader.optional("period", DEFAULT_PERIOD, &parsers::DURATION);
    let spare = reader.optional("spare", false, &parsers::FLAG);
    let hold = reader.optional("hold", false, &parsers::FLAG);
    if let (Some(hosts), Some(budget)) = (hosts, budget)
        && budget >= hosts
    {
        let problem =
            format!("the budget {budget} would allow all {hosts} hosts to be unavailable");
        reader.report("budget", problem, parsers::BUDGET.accepted);
    }
    reader.finish();
    Some(Pool {
        id,
        hosts: hosts?,
        zones: zones?,
        budget: budget?,
        zone_spare: zone_spare?,
        period: period?,
        spare: spare?,
        hold: hold?,
    })
}

fn read_queue(id: QueueId, section: &Section, diagnostics: &mut Diagnostics) -> Option<Queue> {
    let mut reader = SectionReader::new(section, diagnostics);
    let pool = reader.required("pool", &parsers::POOL);
    let access = read_access(&mut reader);
    let class = reader.required("class", &parsers::CLASS);
    let deadline = reader.required("deadline", &parsers::DURATION);
    let idempotent = reader.optional("idempotent", false, &parsers::FLAG);
    let bound = reader.optional("bound", DEFAULT_BOUND, &parsers::COUNT);
    reader.finish();
    Some(Queue {
        id,
        pool: pool?,
        access: access?,
        class: class?,
        deadline: deadline?,
        idempotent: idempotent?,
        bound: bound?,
    })
}

/// Reads the keys `plans` and `open`, of which a queue has exactly one.
fn read_access(reader: &mut SectionReader<'_>) -> Option<Access> {
    const ACCEPTED: &str = "either `plans = PLAN, PLAN` or `open = PLAN`";
    let has_plans = reader.contains("plans");
    let is_open = reader.contains("open");
    let plans = reader.optional("plans", Vec::new(), &parsers::PLANS);
    let plan = reader.optional("open", None, &parsers::OPEN);
    match (has_plans, is_open) {
        (true, false) => plans.map(Access::Plans),
        (false, true) => plan.flatten().map(|plan| Access::Open { plan }),
        (true, true) => {
            reader.report("open", "the queue has both `open` and `plans`", ACCEPTED);
            None
        }
        (false, false) => {
            reader.report("plans", "no team may send to the queue", ACCEPTED);
            None
        }
    }
}

/// Records the names of pools and plans in a queue that do not exist.
fn check_references(
    queue: &Queue,
    section: &Section,
    plans: &Headers<'_>,
    uses: &Headers<'_>,
    diagnostics: &mut Diagnostics,
) {
    let pool = queue.pool.as_str();
    if !uses.contains("pool", pool) {
        let problem = || uses.missing_message("pool", pool);
        diagnostics
            .push_with(|| section.diagnostic("pool", problem(), "a pool of the list `uses`"));
    }
    let (key, named) = match &queue.access {
        Access::Open { plan } => ("open", std::slice::from_ref(plan)),
        Access::Plans(named) => ("plans", named.as_slice()),
    };
    for plan in named.iter().map(PlanId::as_str).filter(|plan| !plans.contains("plan", plan)) {
        let problem = || plans.missing_message("plan", plan);
        diagnostics.push_with(|| section.diagnostic(key, problem(), "a plan of the list `plans`"));
    }
}
