//! A change of the lists and the report on its result.

use serde::Serialize;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::lists::{Difference, EditError, diff};
use vg_conf::{ChangeId, Lists, StoredLists};

use super::diff::Differences;
use super::list_texts::ListTexts;
use super::status::progress_text;
use super::wait::WaitOptions;
use crate::error::{EditSnafu, StoredSnafu};
use crate::node::Progress;
use crate::output::{Report, Style};
use crate::revision::{ApplyOutcome, Current, Proposal};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Number of attempts to edit the keys while other operators change the lists.
const MAX_EDIT_ATTEMPTS: u32 = 5;

/// How far the rollout of a stored change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Stage {
    /// The change is in the store. The entry hosts were not asked, or no majority of
    /// them is known to have it.
    Stored,
    /// A majority of the live entry hosts has the change.
    Accepted,
    /// All live entry hosts have the change.
    InForce,
}

/// The report on a change that is in the store.
#[derive(Debug, Serialize)]
struct ApplyReport {
    stage: Stage,
    revision: Revision,
    change: ChangeId,
    differences: Vec<Difference>,
    progress: Option<Progress>,
}

impl Report for ApplyReport {
    fn text(&self, style: Style) -> String {
        let lines = self.differences.iter().map(|each| format!("  {each}\n"));
        let stored = style.good("stored");
        let mut text = lines.collect::<String>();
        text += &format!("revision {} is {stored}, change {}\n", self.revision, self.change);
        text += &match &self.progress {
            Some(progress) => progress_text(progress, style),
            None => "entry hosts were not asked whether it is in force: see \
                     `verbenagap config status`\n"
                .to_owned(),
        };
        text
    }
}

/// A change of both lists that is yet to be stored.
#[derive(Debug)]
pub(crate) struct ListsChange {
    pub(crate) base: Revision,
    pub(crate) above: Revision,
    pub(crate) texts: ListTexts,
    pub(crate) author: SmolStr,
    pub(crate) wait: WaitOptions,
}

impl ListsChange {
    /// Stores the change, waits until it is in force, and prints a report.
    pub(crate) async fn run<P: Platform, Y: System>(
        self,
        session: &mut Session<'_, '_, P, Y>,
    ) -> Result<Exit, Error> {
        let after = self.texts.lists()?;
        let current = session.revisions()?.current().await?;
        if self.is_current(&current) {
            session.print_report(&Differences { base: self.base, differences: Vec::new() })?;
            return Ok(Exit::Success);
        }
        let proposal = self.proposal(session)?;
        match session.revisions()?.apply(&proposal).await? {
            ApplyOutcome::Stored { revision } => {
                let before = lists_or_empty(&current);
                self.report(session, revision, proposal.change, diff(&before, &after)).await
            }
            ApplyOutcome::Conflict { newest } => {
                Err(self.conflict(session, *newest, &after).await?)
            }
            ApplyOutcome::NotStored => Err(Error::failed(
                "the change is not stored and never will be: the answer of the store was lost \
                 before the change took effect; nothing was changed, run the command again",
            )),
            ApplyOutcome::Unknown { reason } => Err(unknown_outcome(&proposal, &reason)),
        }
    }

    /// Returns whether the newest revision is the base and has the same texts, so
    /// that there is nothing to store.
    fn is_current(&self, current: &Current) -> bool {
        let is_same = |stored: &StoredLists| {
            stored.revision == self.base
                && stored.plans == self.texts.plans
                && stored.uses == self.texts.uses
        };
        self.above <= self.base && current.stored.as_ref().is_some_and(is_same)
    }

    fn proposal<P: Platform, Y: System>(
        &self,
        session: &Session<'_, '_, P, Y>,
    ) -> Result<Proposal, Error> {
        Ok(Proposal {
            base: self.base,
            above: self.above,
            plans: self.texts.plans.clone(),
            uses: self.texts.uses.clone(),
            change: ChangeId::new(session.random_u128()?),
            author: self.author.clone(),
            at_ms: session.wall_time_ms(),
        })
    }

    /// Makes the error that shows what other operators changed since the base and
    /// what the files would change in the newest revision.
    async fn conflict<P: Platform, Y: System>(
        &self,
        session: &Session<'_, '_, P, Y>,
        newest: StoredLists,
        after: &Lists,
    ) -> Result<Error, Error> {
        let lists = newest.lists().context(StoredSnafu)?;
        // Without the base, the changes of other operators can't be determined.
        let base = session.revisions()?.at(self.base).await.ok().flatten();
        let theirs = match base.and_then(|base| base.lists().ok()) {
            Some(base) => indented_lines(&diff(&base, &lists)),
            None => format!("  revision {} is not kept", self.base),
        };
        Ok(Error::Conflict {
            base: self.base,
            newest: newest.revision,
            author: newest.author,
            theirs,
            yours: indented_lines(&diff(&lists, after)),
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
        // With `--no-wait` or without entry hosts, the command is done when the change
        // is stored.
        let is_done = progress.is_none() || stage == Stage::InForce;
        session.print_report(&ApplyReport { stage, revision, change, differences, progress })?;
        if is_done {
            return Ok(Exit::Success);
        }
        session.print_note(
            "the change stays in the store but is not yet in force on all live entry hosts; follow \
             it with `verbenagap config status`",
        )?;
        Ok(Exit::Failed)
    }
}

/// Edits the text of `plans` and stores it. If another operator changes the lists
/// first, edits the newer text, up to [`MAX_EDIT_ATTEMPTS`] times.
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
        let texts = ListTexts { plans: edit(&plans).context(EditSnafu)?, uses };
        let above = Revision::ZERO;
        let change = ListsChange { base, above, texts, author: author.clone(), wait };
        match change.run(session).await {
            // A conflict proves that nothing of this attempt is stored or ever will be.
            Err(Error::Conflict { .. }) if attempt < MAX_EDIT_ATTEMPTS => attempt += 1,
            result => return result,
        }
    }
}

/// Returns the newest lists. Lists that are missing or invalid count as empty,
/// because a change must be able to replace them.
fn lists_or_empty(current: &Current) -> Lists {
    current.stored.as_ref().and_then(|stored| stored.lists().ok()).unwrap_or_default()
}

fn indented_lines(differences: &[Difference]) -> String {
    let lines: Vec<String> = differences.iter().map(|each| format!("  {each}")).collect();
    if lines.is_empty() { "  nothing".to_owned() } else { lines.join("\n") }
}

fn unknown_outcome(proposal: &Proposal, reason: &str) -> Error {
    Error::failed(format!(
        "unknown: the change may be stored: {reason}\n\
         find out with: verbenagap config settle {} --base {}",
        proposal.change, proposal.base
    ))
}
