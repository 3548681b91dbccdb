//! Check of the selected upstream before a request is sent, if the upstream may be cold.

use std::time::Instant;

use steer::dispatch::cold_check;
use steer::dispatch::give_up;
use steer::dispatch::refusal;
use steer::dispatch::retry;

use crate::gateway::cold_check as checks;
use crate::gateway::proxy::tries::Tries;

impl Tries<'_> {
    /// Selects the upstream of the next try, and checks that it is warm if this node cannot tell.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request fails.
    pub(super) async fn choose_warm(&mut self) -> Result<retry::Choice, give_up::Reason> {
        for _ in 0..cold_check::MAX_CHECKS {
            let choice = self.choose()?;
            if self.is_usable(&choice).await {
                return Ok(choice);
            }
            // The next selection applies the slow start share to this upstream.
            self.progress.withdraw_choice();
        }
        let exclusions = refusal::Exclusions::default();
        Err(self.progress.refuse(refusal::Refusal::NoUpstream(exclusions)))
    }

    /// Returns whether the request may be sent to the selected upstream, after a check if necessary.
    async fn is_usable(&self, choice: &retry::Choice) -> bool {
        let state = &self.server.state;
        let upstream = &choice.upstream;
        let step = state.dispatcher.borrow_mut().begin_cold_check(upstream, Instant::now());
        match step {
            cold_check::Step::Send => return true,
            cold_check::Step::SendAndCheck(target) => {
                checks::spawn_check(state, target);
                return true;
            }
            cold_check::Step::Check(target) => checks::spawn_check(state, target),
            cold_check::Step::Await => {}
        }
        checks::wait(state, &upstream.id).await == cold_check::Verdict::Warm
    }
}
