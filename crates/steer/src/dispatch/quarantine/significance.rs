//! Accident: how likely a request met so many crashes by chance.
//!
//! Owns the arithmetic only. Called by [`evidence`], because in a time in which upstreams end for other reasons an innocent request
//! meets several crashes in a row: it is in flight at one, and is sent again to another that ends too.
//!
//! [`evidence`]: crate::dispatch::quarantine::evidence

/// Returns the chance that a request meets `met` crashes in a time in which `expected` are to be expected, where crashes
/// come independently of it.
///
/// The times until independent crashes are exponentially distributed, so the time until so many follows the Erlang
/// distribution, whose distribution function this is.
#[must_use]
pub fn chance(met: u32, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut fewer = 0.0;
    for crashes in 0..met {
        fewer += term;
        term *= expected / f64::from(crashes + 1);
    }
    (1.0 - fewer).max(0.0)
}
