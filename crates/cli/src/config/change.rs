//! One change of the lists with its report.

use serde::Serialize;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::lists::{Difference, EditError, diff};
use vg_conf::{ChangeId, Lists, StoredLists};

use super::diff::Differences;
use super::force::WaitOptions;
use super::pair::Pair;
use super::status::progress_text;
use crate::error::{EditSnafu, StoredSnafu};
use crate::node::Progress;
use crate::output::{Report, Style};
use crate::revise::{Current, Proposal, Verdict};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Attempts of a key's edit when other operators change the lists meanwhile.
const EDIT_ATTEMPTS: u32 = 5;

/// How far a change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Stage {
    /// In the store; the entry hosts were not asked, or too few have it.
    Stored,
    /// A majority of the live entry hosts has it.
    Accepted,
    /// All live entry hosts have it.
    InForce,
}

/// A change that is in the store.
#[derive(Debug, Serialize)]
struct Outcome {
    stage: Stage,
    revision: Revision,
    change: ChangeId,
    differences: Vec<Difference>,
    progress: Option<Progress>,
}

impl Report for Outcome {
    fn text(&self, style: Style) -> String {
        let lines = self.differences.iter().map(|each| format!("  {each}\n"));
        let stored = style.good("stored");
        let mut text = lines.collect::<String>();
        text += &format!("revision {} is {stored}, change {}\n", self.revision, self.change);
        text += &match &self.progress {
            Some(progress) => progress_text(progress, style),
            None => "not asked whether it is in force: see `verbenagap config status`\n".to_owned(),
        };
        text
    }
}

/// A change of both lists that is about to be stored.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) base: Revision,
    pub(crate) above: Revision,
    pub(crate) pair: Pair,
    pub(crate) author: SmolStr,
    pub(crate) wait: WaitOptions,
}

impl Attempt {
    /// Stores the change, waits for it to be in force, and reports.
    pub(crate) async fn run<P: Platform, Y: System>(
        self,
        session: &mut Session<'_, '_, P, Y>,
    ) -> Result<Exit, Error> {
        let after = self.pair.lists()?;
        let current = session.revisions()?.current().await?;
        if self.is_stored(&current) {
            session.show(&Differences { base: self.base, differences: Vec::new() })?;
            return Ok(Exit::Success);
        }
        let proposal = self.proposal(session)?;
        match session.revisions()?.apply(&proposal).await? {
            Verdict::Stored { revision } => {
                let before = lists_of(&current);
                self.report(session, revision, proposal.change, diff(&before, &after)).await
            }
            Verdict::Conflict { newest } => Err(self.conflict(session, *newest, &after).await?),
            Verdict::NotStored => Err(Error::failed(
                "the change is not stored and never will be: its answer was lost before it took \
                 effect; nothing was changed, run the command again",
            )),
            Verdict::Unknown { reason } => Err(unknown(&proposal, &reason)),
        }
    }

    /// Whether the newest revision is the base and has these very texts.
    fn is_stored(&self, current: &Current) -> bool {
        let same = |stored: &StoredLists| {
            stored.revision == self.base
                && stored.plans == self.pair.plans
                && stored.uses == self.pair.uses
        };
        self.above <= self.base && current.stored.as_ref().is_some_and(same)
    }

    fn proposal<P: Platform, Y: System>(
        &self,
        session: &Session<'_, '_, P, Y>,
    ) -> Result<Proposal, Error> {
        Ok(Proposal {
            base: self.base,
            above: self.above,
            plans: self.pair.plans.clone(),
            uses: self.pair.uses.clone(),
            change: ChangeId::new(session.random()?),
            author: self.author.clone(),
            at_ms: session.wall_ms(),
        })
    }

    /// Tells what other operators changed since the base, and what these files
    /// would change now.
    async fn conflict<P: Platform, Y: System>(
        &self,
        session: &Session<'_, '_, P, Y>,
        newest: StoredLists,
        after: &Lists,
    ) -> Result<Error, Error> {
        let lists = newest.lists().context(StoredSnafu)?;
        // Without the base the other operators' part can't be told apart.
        let base = session.revisions()?.at(self.base).await.ok().flatten();
        let theirs = match base.and_then(|base| base.lists().ok()) {
            Some(base) => lines(&diff(&base, &lists)),
            None => format!("  revision {} is not kept", self.base),
        };
        Ok(Error::Conflict {
            base: self.base,
            newest: newest.revision,
            author: newest.author,
            theirs,
            yours: lines(&diff(&lists, after)),
        })
    }

    async fn report<P: Platform, Y: System>(
        &self,
        session: &mut Session<'_, '_, P, Y>,
        revision: Revision,
        change: ChangeId,
        differences: Vec<Difference>,
    ) -> Result<Exit, Error> {
        let progress = self.wait.wait(session, revision).await?;
        let stage = match &progress {
            Some(progress) if progress.is_in_force() => Stage::InForce,
            Some(progress) if progress.accepted => Stage::Accepted,
            _ => Stage::Stored,
        };
        // Without a wait, to be stored is all that was asked for.
        let done = progress.is_none() || stage == Stage::InForce;
        session.show(&Outcome { stage, revision, change, differences, progress })?;
        if done {
            return Ok(Exit::Success);
        }
        session.note(
            "the change stays in the store but is not yet in force on all live entry hosts; follow \
             it with `verbenagap config status`",
        )?;
        Ok(Exit::Failed)
    }
}

/// Edits the text of `plans`, anew as long as other operators come first.
pub(crate) async fn edit_plans<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    author: SmolStr,
    wait: WaitOptions,
    edit: impl Fn(&str) -> Result<String, EditError>,
) -> Result<Exit, Error> {
    let mut attempt = 1;
    loop {
        let current = session.revisions()?.current().await?;
        let base = current.revision();
        let stored = current.stored.map(|stored| (stored.plans, stored.uses));
        let (plans, uses) = stored.unwrap_or_default();
        let pair = Pair { plans: edit(&plans).context(EditSnafu)?, uses };
        let above = Revision::ZERO;
        let edited = Attempt { base, above, pair, author: author.clone(), wait };
        match edited.run(session).await {
            // Proved: nothing of this attempt is stored or will be.
            Err(Error::Conflict { .. }) if attempt < EDIT_ATTEMPTS => attempt += 1,
            done => return done,
        }
    }
}

/// Returns the lists of a revision; those that can't be read count as empty,
/// since a change must be able to replace them.
fn lists_of(current: &Current) -> Lists {
    current.stored.as_ref().and_then(|stored| stored.lists().ok()).unwrap_or_default()
}

fn lines(differences: &[Difference]) -> String {
    let lines: Vec<String> = differences.iter().map(|each| format!("  {each}")).collect();
    if lines.is_empty() { "  nothing".to_owned() } else { lines.join("\n") }
}

fn unknown(proposal: &Proposal, reason: &str) -> Error {
    Error::failed(format!(
        "unknown: the change may be stored: {reason}\n\
         settle it with: verbenagap config settle {} --base {}",
        proposal.change, proposal.base
    ))
}
