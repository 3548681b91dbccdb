//! Decides which limits a node announces to others.
//!
//! Keeps the last announcement of each limit. A changed limit is announced at once. A limit that
//! was only confirmed is announced periodically by the nodes that received the response themselves,
//! so that starting nodes learn of it; the traffic therefore grows with the number of responses and
//! not with the number of nodes.

use std::collections;
use std::time::{Duration, Instant};

use model::limit;

use crate::dispatch::peer_load;
use crate::dispatch::upstream_limit::observation;

/// Time after which a limit that was only confirmed is announced again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Observation of a limit as nodes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Announcement {
    /// The upstream.
    pub upstream: peer_load::Key,
    /// Its limit; `None` if it no longer announces one.
    pub limit: Option<limit::Rate>,
    /// Time since the upstream responded.
    pub age: Duration,
}

/// Last announcement about one upstream.
#[derive(Clone, Copy, Debug)]
struct LastAnnouncement {
    limit: Option<limit::Rate>,
    observed_at: Instant,
    announced_at: Instant,
}

/// Last announcements about all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    announced: collections::HashMap<peer_load::Key, LastAnnouncement>,
}

impl Announcer {
    /// Returns the announcements of those `observations` that are due.
    pub fn due<'a>(
        &mut self,
        observations: impl Iterator<Item = (peer_load::Key, &'a observation::Observation)>,
        now: Instant,
    ) -> Vec<Announcement> {
        let mut due = Vec::new();
        for (upstream, latest) in observations {
            let is_due =
                self.announced.get(&upstream).is_none_or(|last| last.is_outdated(latest, now));
            if is_due {
                let announced = LastAnnouncement {
                    limit: latest.limit,
                    observed_at: latest.at,
                    announced_at: now,
                };
                self.announced.insert(upstream, announced);
                let age = now.saturating_duration_since(latest.at);
                due.push(Announcement { upstream, limit: latest.limit, age });
            }
        }
        due
    }

    /// Removes the announcements about upstreams that are not known.
    pub fn retain(&mut self, is_known: impl Fn(peer_load::Key) -> bool) {
        self.announced.retain(|upstream, _| is_known(*upstream));
    }
}

impl LastAnnouncement {
    fn is_outdated(&self, latest: &observation::Observation, now: Instant) -> bool {
        let is_repeat_due = now.saturating_duration_since(self.announced_at) >= REPEAT_INTERVAL;
        self.limit != latest.limit || latest.at > self.observed_at && is_repeat_due
    }
}
