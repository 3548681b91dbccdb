//! Warmth of the selected upstream, which is asked for before a request is sent to an upstream that may be cold.

use std::time::Instant;

use steer::dispatch::give_up;
use steer::dispatch::refusal;
use steer::dispatch::retry;
use steer::dispatch::warmth;

use crate::gateway::proxy::tries::Tries;
use crate::gateway::warmth as checks;

impl Tries<'_> {
    /// Selects the upstream of the next try, which is warm as far as this node knows or can ask.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request fails.
    pub(super) async fn choose_warm(&mut self) -> Result<retry::Choice, give_up::Reason> {
        for _ in 0..warmth::MAX_CHECKS {
            let choice = self.choose()?;
            if self.is_usable(&choice).await {
                return Ok(choice);
            }
            // Its slow start share decides from now on whether the upstream is selected.
            self.progress.withdraw_choice();
        }
        let exclusions = refusal::Exclusions::default();
        Err(self.progress.refuse(refusal::Refusal::NoUpstream(exclusions)))
    }

    /// Returns whether the request may be sent to the selected upstream, which is asked first if necessary.
    async fn is_usable(&self, choice: &retry::Choice) -> bool {
        let state = &self.server.state;
        let upstream = &choice.upstream;
        let step = state.dispatcher.borrow_mut().begin_warmth_check(upstream, Instant::now());
        match step {
            warmth::Step::Send => return true,
            warmth::Step::SendAndAsk(target) => {
                checks::spawn_check(state, target);
                return true;
            }
            warmth::Step::Ask(target) => checks::spawn_check(state, target),
            warmth::Step::Await => {}
        }
        checks::wait(state, &upstream.id).await == warmth::Verdict::Warm
    }
}
