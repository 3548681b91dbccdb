//! The oracle: what callers were told, against what upstreams did.

use std::collections;
use std::time::{Duration, SystemTime};

use standin::platform::upstream;

use crate::callers;
use crate::organisations;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What all upstreams did.
#[derive(Debug, Default)]
pub struct Truth {
    ran: collections::HashMap<String, u32>,
    told: collections::HashMap<String, String>,
    bodies: collections::HashMap<String, Vec<u8>>,
}

impl Truth {
    /// Sums the records of all upstreams up.
    pub fn of(records: impl Iterator<Item = upstream::Record>) -> Self {
        let mut truth = Self::default();
        for record in records {
            for (id, times) in record.ran {
                *truth.ran.entry(id).or_default() += times;
            }
            truth.bodies.extend(record.bodies);
            truth.told.extend(record.heads.into_iter().map(|(id, head)| (id, organisation(&head))));
        }
        truth
    }

    /// Returns every promise that was broken to a caller.
    pub fn broken(&self, outcomes: &[callers::Outcome]) -> Vec<String> {
        let mut broken = Vec::new();
        let known: collections::HashSet<&str> = outcomes.iter().map(|o| o.id.as_str()).collect();
        for id in self.ran.keys().filter(|id| !known.contains(id.as_str())) {
            broken.push(format!("UNASKED: {id:?} ran"));
        }
        for outcome in outcomes {
            broken.extend(self.of_request(outcome));
        }
        broken
    }

    fn of_request(&self, outcome: &callers::Outcome) -> Option<String> {
        let callers::Outcome { id, status, answer, .. } = outcome;
        let ran = self.ran.get(id).copied().unwrap_or(0);
        let is_promise = status.is_some_and(|status| PROMISES.contains(&status));
        let is_success = status.is_some_and(|status| (200..300).contains(&status));
        let body = self.bodies.get(id).map(Vec::as_slice).unwrap_or_default();
        match () {
            () if !outcome.is_repeatable && ran > 1 => Some(format!("TWICE: {id} ran {ran} times")),
            () if is_promise && ran > 0 => Some(format!("REFUSED: {id} got {status:?} and ran")),
            () if ran > 0 && self.told.get(id).is_some_and(|told| told != outcome.organisation) => {
                Some(format!("UNASKED: {id} ran for {:?}", self.told[id]))
            }
            () if is_success && !answer.ends_with(&format!(" to {id}")) => {
                Some(format!("MIXED: {id} got {answer:?}"))
            }
            () if is_success && outcome.answered != *id => {
                Some(format!("MIXED: {id} got the answer to {:?}", outcome.answered))
            }
            () if is_success && ran == 0 => Some(format!("MIXED: {id} did not run: {answer:?}")),
            () if ran > 0 && body != outcome.body.as_bytes() => {
                Some(format!("UNASKED: {id} ran with a body of {} bytes", body.len()))
            }
            () if *status == Some(503) && !outcome.has_retry_after => {
                Some(format!("{id} was not told when to come back"))
            }
            () if *status == Some(401) && ran > 0 => Some(format!("DENIED: {id} got 401 and ran")),
            () if *status == Some(401) && outcome.key == organisations::REVOCABLE => None,
            () => match status {
                Some(400..=407 | 409..=420 | 422..=428 | 430..=499) => {
                    Some(format!("DENIED: {id} got {status:?}"))
                }
                _ => None,
            },
        }
    }
}

/// Returns the organisation that an upstream was told of.
fn organisation(head: &str) -> String {
    let told = head.lines().find_map(|line| line.strip_prefix("yokespoke-tenant: "));
    told.unwrap_or_default().to_owned()
}

/// Returns whether the organisation with a limit was served more than its limit in any window.
pub fn over_limit(outcomes: &[callers::Outcome]) -> Option<String> {
    let is_counted =
        |o: &&callers::Outcome| o.organisation == organisations::LIMITED && o.status == Some(200);
    let mut sent: Vec<_> = outcomes.iter().filter(is_counted).map(|o| o.sent.0).collect();
    sent.sort();
    let window = Duration::from_secs(organisations::WINDOW_SECONDS);
    let within = |first: SystemTime| {
        sent.iter().filter(|sent| (first..first + window).contains(*sent)).count()
    };
    let most = sent.iter().map(|first| within(*first)).max().unwrap_or(0);
    (most > organisations::MOST_IN_WINDOW).then(|| format!("QUOTA: {most} in {window:?}"))
}
