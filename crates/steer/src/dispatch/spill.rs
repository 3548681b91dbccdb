//! Spills: requests that leave their region because it is crowded, a bounded share of all.

/// Requests that may spill at once.
const BURST: f64 = 3.0;

/// The requests that may still spill.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spill {
    allowed: f64,
}

impl Spill {
    /// Notes a request, `share` of which may spill.
    pub fn earn(&mut self, share: f64) {
        self.allowed = (self.allowed + share).min(BURST);
    }

    /// Takes one spill out; returns false when none is left.
    pub fn take(&mut self) -> bool {
        let is_allowed = self.allowed >= 1.0;
        if is_allowed {
            self.allowed -= 1.0;
        }
        is_allowed
    }
}
