//! Format of the answer counts of roll-outs in load reports.

use steer::dispatch::rollout::Report;
use steer::dispatch::rollout::evidence::{Counts, Route, Tally};
use wire::gateway::loads as message;

use crate::gateway::leaving_report;

/// Encodes a report.
pub(super) fn encode(report: &Report) -> message::RolloutAnswers {
    let counts = || report.routes.iter().map(|(_, counts)| counts);
    message::RolloutAnswers {
        key: report.key,
        routes: report.routes.iter().map(|(route, _)| route.0).collect(),
        new_answers: counts().map(|counts| counts.new.answers).collect(),
        new_failed: counts().map(|counts| counts.new.failed).collect(),
        new_slow: counts().map(|counts| counts.new.slow).collect(),
        old_answers: counts().map(|counts| counts.old.answers).collect(),
        old_failed: counts().map(|counts| counts.old.failed).collect(),
        old_slow: counts().map(|counts| counts.old.slow).collect(),
    }
}

/// Decodes a report.
///
/// # Errors
///
/// Fails if the lists differ in length.
pub(super) fn read(report: &message::RolloutAnswers) -> Result<Report, leaving_report::Uneven> {
    let names = report.routes.len();
    let new = [&report.new_answers, &report.new_failed, &report.new_slow];
    let old = [&report.old_answers, &report.old_failed, &report.old_slow];
    if let Some(uneven) = new.into_iter().chain(old).find(|list| list.len() != names) {
        return Err(leaving_report::Uneven { names, figures: uneven.len() });
    }
    let tally = |[answers, failed, slow]: [&Vec<u32>; 3], index: usize| Tally {
        answers: answers[index],
        failed: failed[index],
        slow: slow[index],
    };
    let counts = |index: usize| Counts { new: tally(new, index), old: tally(old, index) };
    let routes = (0..names).map(|index| (Route(report.routes[index]), counts(index))).collect();
    Ok(Report { key: report.key, routes })
}
