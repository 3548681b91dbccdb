//! A split that moves too fast is seen, whatever the number of requests.

use std::collections;
use std::time::{Duration, Instant};

use standin::split::{Key, Sample, Samples};

const WINDOW: Duration = Duration::from_secs(1);

fn sampled(north: &[(u64, f64)]) -> Samples {
    let start = Instant::now();
    let mut samples = Samples::default();
    for (millis, share) in north {
        let key = Key {
            node: "n-1".to_owned(),
            start: 0,
            service: "desk".to_owned(),
            place: "quai".to_owned(),
        };
        let asked = start + Duration::from_millis(*millis);
        let shares = [("north".to_owned(), *share), ("south".to_owned(), 100.0 - share)];
        let shares = collections::BTreeMap::from(shares);
        samples.add(key, Sample { asked, answered: asked + Duration::from_millis(5), shares });
    }
    samples
}

#[test]
fn the_greatest_move_within_a_window_is_found() {
    let samples = sampled(&[(0, 100.0), (400, 88.0), (900, 74.5), (1_390, 60.0), (3_000, 0.0)]);
    let shift = samples.greatest_shift("desk", WINDOW);
    assert!((shift.share - 0.28).abs() < 1e-9, "{shift:?}");
    assert!(shift.detail.contains("quai at n-1"), "{shift:?}");
}

#[test]
fn a_move_over_more_than_a_window_is_no_fault() {
    let samples = sampled(&[(0, 100.0), (1_000, 75.0), (2_000, 50.0)]);
    assert!(samples.greatest_shift("desk", WINDOW).share < f64::EPSILON);
    assert!(samples.greatest_shift("shelf", WINDOW).share < f64::EPSILON);
}
