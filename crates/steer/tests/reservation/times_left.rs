//! What is learned of the time left of first requests.

use std::time::Duration;

use model::id;
use steer::dispatch::reservation::TimesLeft;

const USUAL: Duration = Duration::from_secs(2);

/// Records times left in milliseconds on a route; returns what is usual there after them.
fn learn(samples: impl Iterator<Item = u64>) -> Option<Duration> {
    let route = id::Route::new("reads");
    let mut times = TimesLeft::default();
    let mut usual = None;
    for millis in samples {
        usual = times.record(&route, Duration::from_millis(millis));
    }
    usual.map(|usual| usual.time)
}

/// Guards against returns being taken for first requests when every caller returns.
#[test]
fn returns_do_not_change_what_is_usual() {
    assert_eq!(learn((0..500).map(|n| if n % 2 == 0 { 2_000 } else { 1_560 })), Some(USUAL));
}

/// Guards against a few callers with long deadlines making all others look like returns.
#[test]
fn a_few_odd_callers_do_not_change_what_is_usual() {
    let times = |n| match n % 10 {
        0 => 60_000,
        5 => 10,
        _ => 2_000,
    };
    assert_eq!(learn((0..500).map(times)), Some(USUAL));
}

/// Guards against first requests being taken for returns where deadlines differ.
#[test]
fn nothing_is_usual_where_deadlines_differ() {
    assert_eq!(learn((0..500).map(|n| 500 + n * 7 % 1_500)), None);
}

/// Guards against a changed deadline of all callers being ignored.
#[test]
fn a_new_deadline_is_learned() {
    let change = |n| if n < 500 { 2_000 } else { 1_000 };
    assert_eq!(learn((0..640).map(change)), Some(Duration::from_secs(1)));
}

/// Guards against unbounded memory where the configuration has many routes.
#[test]
fn routes_are_bounded() {
    let mut times = TimesLeft::default();
    let mut known = 0;
    for number in 0..300 {
        let route = id::Route::new(&format!("r-{number}"));
        let last = (0..32).map(|_| times.record(&route, USUAL)).last();
        known += usize::from(last.flatten().is_some());
    }
    assert_eq!(known, 256);
    times.retain(|route| route.as_str() == "r-1");
    let other = id::Route::new("r-299");
    assert!((0..32).any(|_| times.record(&other, USUAL).is_some()));
}
