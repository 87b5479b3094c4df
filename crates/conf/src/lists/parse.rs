//! Checked reading of both lists.

use std::collections::BTreeMap;
use std::str::FromStr;

use vg_base::prelude::*;

use crate::ini::{Diagnostic, Diagnostics, Reader, Section, scan};
use crate::lists::headers::Headers;
use crate::lists::{Access, KeyDigest, Lists, Plan, Pool, Queue, kinds};

/// Name of the list of customers' plans, in diagnostics and files.
pub const PLANS: &str = "plans";
/// Name of the list of what each plan may use, in diagnostics and files.
pub const USES: &str = "uses";

/// Longest accepted list, so that both fit into one stored value.
pub const MAX_LIST_BYTES: usize = 320 * 1024;

/// Each host is maintained once in this time unless its pool says otherwise.
const DEFAULT_PERIOD: Duration = Duration::from_secs(6 * 7 * 24 * 60 * 60);
/// Most waiting requests of a queue unless it says otherwise.
const DEFAULT_BOUND: u32 = 1000;

/// Reads both lists and checks them as a whole.
///
/// # Errors
///
/// All diagnostics of both lists.
pub fn parse(plans: &str, uses: &str) -> Result<Lists, Diagnostics> {
    let mut diagnostics = Diagnostics::default();
    let plans = sections(PLANS, plans, &mut diagnostics);
    let uses = sections(USES, uses, &mut diagnostics);
    let plan_headers = Headers::new(&["plan"], &plans, &mut diagnostics);
    let use_headers = Headers::new(&["pool", "queue"], &uses, &mut diagnostics);
    let lists = Lists {
        plans: read_plans(&plan_headers, &mut diagnostics),
        pools: collect(use_headers.of("pool"), |id, section| {
            read_pool(id, section, &mut diagnostics)
        }),
        queues: collect(use_headers.of("queue"), |id, section| {
            let queue = read_queue(id, section, &mut diagnostics)?;
            check_references(&queue, section, &plan_headers, &use_headers, &mut diagnostics);
            Some(queue)
        }),
    };
    diagnostics.into_result(lists)
}

fn sections(source: &'static str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Section> {
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

fn collect<'a, K: FromStr + Ord + Clone, V>(
    sections: impl Iterator<Item = (&'a str, &'a Section)>,
    mut read: impl FnMut(K, &'a Section) -> Option<V>,
) -> BTreeMap<K, V> {
    let mut found = BTreeMap::new();
    for (name, section) in sections {
        // The headers have checked the name already.
        let Ok(id) = name.parse::<K>() else { continue };
        if let Some(value) = read(id.clone(), section) {
            found.insert(id, value);
        }
    }
    found
}

fn read_plans(headers: &Headers<'_>, diagnostics: &mut Diagnostics) -> BTreeMap<PlanId, Plan> {
    let mut taken = Taken::default();
    collect(headers.of("plan"), |id, section| read_plan(id, section, &mut taken, diagnostics))
}

/// What only one plan may have. Plans with other diagnostics take theirs, too.
#[derive(Debug, Default)]
struct Taken {
    teams: BTreeMap<TeamId, PlanId>,
    digests: BTreeMap<KeyDigest, PlanId>,
}

impl Taken {
    fn team(&mut self, team: &TeamId, plan: &PlanId, reader: &mut Reader<'_>) {
        if let Some(other) = self.teams.insert(team.clone(), plan.clone()) {
            let problem = format!("the team `{team}` has the plan `{other}` already");
            reader.fault("team", problem, "one plan for each team");
        }
    }

    fn digest(&mut self, digest: KeyDigest, plan: &PlanId, reader: &mut Reader<'_>) {
        if let Some(other) = self.digests.insert(digest, plan.clone()) {
            let problem = format!("{digest} is a key of the plan `{other}` too");
            reader.fault("keys", problem, "each key in one plan");
        }
    }
}

fn read_plan(
    id: PlanId,
    section: &Section,
    taken: &mut Taken,
    diagnostics: &mut Diagnostics,
) -> Option<Plan> {
    let mut reader = Reader::new(section, diagnostics);
    let team = reader.required("team", &kinds::TEAM);
    let keys = reader.optional("keys", Vec::new(), &kinds::KEYS);
    let share = reader.required("share", &kinds::SHARE);
    let limit = reader.required("limit", &kinds::LIMIT);
    team.iter().for_each(|team| taken.team(team, &id, &mut reader));
    keys.iter().flatten().for_each(|&digest| taken.digest(digest, &id, &mut reader));
    reader.finish();
    Some(Plan { id, team: team?, keys: keys?, share: share?, limit: limit? })
}

fn read_pool(id: PoolId, section: &Section, diagnostics: &mut Diagnostics) -> Option<Pool> {
    let mut reader = Reader::new(section, diagnostics);
    let hosts = reader.required("hosts", &kinds::COUNT);
    let zones = reader.optional("zones", Vec::new(), &kinds::ZONES);
    let budget = reader.required("budget", &kinds::BUDGET);
    let zone_spare = reader.optional("zone-spare", false, &kinds::FLAG);
    let period = reader.optional("period", DEFAULT_PERIOD, &kinds::DURATION);
    let spare = reader.optional("spare", false, &kinds::FLAG);
    let hold = reader.optional("hold", false, &kinds::FLAG);
    if let (Some(hosts), Some(budget)) = (hosts, budget)
        && budget >= hosts
    {
        let problem = format!("the budget {budget} would let all {hosts} hosts be away");
        reader.fault("budget", problem, kinds::BUDGET.accepted);
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
    let mut reader = Reader::new(section, diagnostics);
    let pool = reader.required("pool", &kinds::POOL);
    let access = read_access(&mut reader);
    let class = reader.required("class", &kinds::CLASS);
    let deadline = reader.required("deadline", &kinds::DURATION);
    let idempotent = reader.optional("idempotent", false, &kinds::FLAG);
    let bound = reader.optional("bound", DEFAULT_BOUND, &kinds::COUNT);
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

fn read_access(reader: &mut Reader<'_>) -> Option<Access> {
    const ACCEPTED: &str = "either `plans = PLAN, PLAN` or `open = PLAN`";
    let named = reader.has("plans");
    let open = reader.has("open");
    let plans = reader.optional("plans", Vec::new(), &kinds::PLANS);
    let plan = reader.optional("open", None, &kinds::OPEN);
    match (named, open) {
        (true, false) => plans.map(Access::Plans),
        (false, true) => plan.flatten().map(|plan| Access::Open { plan }),
        (true, true) => {
            reader.fault("open", "the queue is both open and for named plans", ACCEPTED);
            None
        }
        (false, false) => {
            reader.fault("plans", "nobody may send to the queue", ACCEPTED);
            None
        }
    }
}

fn check_references(
    queue: &Queue,
    section: &Section,
    plans: &Headers<'_>,
    uses: &Headers<'_>,
    diagnostics: &mut Diagnostics,
) {
    let pool = queue.pool.as_str();
    if !uses.has("pool", pool) {
        let problem = || uses.missing("pool", pool);
        diagnostics.push_with(|| section.fault("pool", problem(), "a pool of the list `uses`"));
    }
    let (key, named) = match &queue.access {
        Access::Open { plan } => ("open", std::slice::from_ref(plan)),
        Access::Plans(named) => ("plans", named.as_slice()),
    };
    for plan in named.iter().map(PlanId::as_str).filter(|plan| !plans.has("plan", plan)) {
        let problem = || plans.missing("plan", plan);
        diagnostics.push_with(|| section.fault(key, problem(), "a plan of the list `plans`"));
    }
}
