//! Statistical significance: how likely it is that a request was in flight at several crashes by
//! chance.
//!
//! Used by [`evidence`]: while upstreams end for other reasons, a harmless request can be in flight
//! at several crashes in a row, because it is retried at another upstream that ends as well.
//!
//! [`evidence`]: crate::dispatch::quarantine::evidence

/// Returns the probability that a request is in flight at `observed` or more crashes when
/// `expected` are expected and crashes are independent of the request.
///
/// The times between independent crashes are exponentially distributed, so the time until the
/// `observed`-th crash follows the Erlang distribution. This is its cumulative distribution
/// function.
#[must_use]
pub fn p_value(observed: u32, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut fewer = 0.0;
    for crashes in 0..observed {
        fewer += term;
        term *= expected / f64::from(crashes + 1);
    }
    (1.0 - fewer).max(0.0)
}
