//! Selection of the upstream of a try, and the reasons for which a request fails without one.
//!
//! [`steer::dispatch::retry`] selects the upstream; this module provides the inputs and records the result.

use std::time::{Duration, Instant};

use model::id;
use model::key;
use steer::dispatch::give_up;
use steer::dispatch::retry;
use steer::dispatch::urgency;

use crate::gateway::proxy::tries::{self, Tries};

impl<'a> Tries<'a> {
    /// Selects the upstream of the next try.
    pub(super) fn choose(&mut self) -> Result<retry::Choice, give_up::Reason> {
        self.check()?;
        let request = self.for_choice();
        let mut dispatcher = self.server.state.dispatcher.borrow_mut();
        let chosen = self.progress.choose(request, &mut dispatcher, Instant::now());
        let wait = match &chosen {
            Ok(choice) => dispatcher.expected_wait(&choice.upstream, Instant::now()),
            Err(_) => Duration::ZERO,
        };
        drop(dispatcher);
        if chosen.is_ok() && !self.has_time(wait) {
            return Err(self.progress.reason_while_stopping());
        }
        match &chosen {
            Ok(choice) if choice.is_diverted() => self.record_diverted(choice),
            Err(give_up::Reason::Limited { .. }) => self.server.state.metrics.limited.add(1),
            _ => {}
        }
        chosen
    }

    /// Checks whether the request may still be sent: it ends before a stopping node exits, its key is
    /// valid, and it is not quarantined.
    pub(super) fn check(&mut self) -> Result<(), give_up::Reason> {
        if !self.has_time(Duration::ZERO) {
            return Err(self.progress.reason_while_stopping());
        }
        if self.is_revoked() {
            return Err(self.progress.reason_after_revocation());
        }
        self.held = self.identity.check();
        if let Some(hold) = self.held {
            self.server.state.metrics.held_back.add(1);
            return Err(self.progress.reason_in_quarantine(hold.retry_after));
        }
        Ok(())
    }

    /// Returns whether the request ends before a stopping node exits, if it queues for about `wait`.
    fn has_time(&self, wait: Duration) -> bool {
        let tries::Request { route, service, deadline, .. } = &self.request;
        let expected_end = self.server.state.expected_end(&route.name, service, *deadline, wait);
        self.request.in_flight.set_expected_end(expected_end);
        expected_end.is_none_or(|end| self.server.state.ends_before_exit(end))
    }

    /// Returns the properties of the request that the dispatch rules use.
    pub(super) fn for_choice(&self) -> retry::Request<'a> {
        retry::Request {
            route: self.request.route,
            service: self.request.service,
            key: self.identity.key(),
            deadline: self.request.deadline,
            homes: self.request.homes,
            urgency: urgency::Urgency::of(self.request.route, self.request.organisation),
            caller: self.request.caller,
        }
    }

    /// Records that statements of upstreams about themselves changed the selection.
    fn record_diverted(&self, choice: &retry::Choice) {
        self.server.state.metrics.diverted.add(1);
        let limited: Vec<&str> = choice.skipped.iter().map(id::Upstream::as_str).collect();
        let limited = limited.join(",");
        log::info!(
            request = self.request.head.request_id.as_str(),
            upstream = choice.upstream.id.as_str(),
            limited = limited.as_str(),
            avoided = choice.avoided.as_ref().map_or("", id::Upstream::as_str);
            "request-diverted"
        );
    }

    /// Returns whether the current configuration, which may be newer than the request, revokes its key.
    fn is_revoked(&self) -> bool {
        let routing = self.server.state.routing.borrow();
        let in_force = routing.as_ref().and_then(|routing| routing.organisations.as_ref());
        match (self.request.organisation, in_force, self.request.head.key) {
            (Some(organisation), Some(in_force), key::Credential::Key(key)) => {
                in_force.find(&key).is_none_or(|found| found.name != organisation.name)
            }
            _ => false,
        }
    }

    /// Returns the failure reason after a refusal, which is different if all upstreams have asked
    /// for a rest period.
    pub(super) fn turned_away(&self) -> give_up::Reason {
        let mut dispatcher = self.server.state.dispatcher.borrow_mut();
        self.progress.reason_after_refusal(self.for_choice(), &mut dispatcher, Instant::now())
    }
}
