//! Tests of parsing the header field with an upstream's limit.

use model::limit::{Field, Rate};

fn parse(values: &[Option<&str>]) -> Field {
    Field::read(values.iter().copied())
}

fn limit(per_second: f64) -> Field {
    Field::Limit(Rate::new(per_second).expect("a rate"))
}

#[test]
fn a_decimal_number_is_a_limit() {
    for (text, rate) in [("3", 3.0), ("0.2", 0.2), (" 7.5 ", 7.5), ("1e3", 1_000.0), ("0", 0.0)] {
        assert_eq!(parse(&[Some(text)]), limit(rate), "{text}");
    }
    assert_eq!(parse(&[Some("1e300")]), limit(1e6), "capped at the maximum");
}

#[test]
fn invalid_rates_are_malformed() {
    for text in ["", " ", "-1", "NaN", "inf", "-inf", "1e999", "three", "3 4", "3,4", "0x10"] {
        assert_eq!(parse(&[Some(text)]), Field::Malformed, "{text:?}");
    }
    assert_eq!(parse(&[None]), Field::Malformed, "not valid text");
}

#[test]
fn the_lowest_valid_value_of_repeated_fields_applies() {
    assert_eq!(parse(&[]), Field::Absent);
    assert_eq!(parse(&[Some("5"), Some("2"), Some("9")]), limit(2.0));
    assert_eq!(parse(&[Some("-5"), Some("2")]), limit(2.0));
    assert_eq!(parse(&[Some("2"), Some("none")]), limit(2.0));
    assert_eq!(parse(&[Some("x"), None]), Field::Malformed);
}
