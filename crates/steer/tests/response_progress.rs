//! When an upstream is cut off that keeps sending bytes.

use std::time::{Duration, Instant};

use steer::common::response_progress::{BUFFER_BYTES, Receipt};

/// Time that a response may take.
const LONGEST: Duration = Duration::from_secs(60);

/// Time after its first byte by which a head must be complete.
const STALL: Duration = Duration::from_secs(3);

/// Bytes that complete nothing would be read on and on.
#[test]
fn a_connection_receives_only_so_much_without_progress() {
    let now = Instant::now();
    let block = BUFFER_BYTES as u64;
    let mut receipt = Receipt::default();
    receipt.await_head();
    assert!(receipt.record_bytes(2 * block, now));
    assert!(!receipt.record_bytes(1, now));
    receipt.record_progress();
    for _ in 0..100 {
        assert!(receipt.record_bytes(3 * block, now), "pieces of a body may be large");
        receipt.record_progress();
    }
    assert!(!receipt.record_bytes(4 * block + 1, now));
}

/// An upstream may work for long before its head, but has no reason to send a head slowly.
#[test]
fn only_a_head_that_has_begun_has_a_deadline() {
    let began = Instant::now();
    let mut receipt = Receipt::default();
    receipt.await_head();
    assert_eq!(receipt.head_deadline(), None);
    assert!(receipt.record_bytes(10, began));
    assert!(receipt.record_bytes(10, began + STALL / 2));
    assert_eq!(receipt.head_deadline(), Some(began + STALL));
    receipt.record_interim();
    assert_eq!(receipt.head_deadline(), None, "the upstream still works after an interim response");
    assert!(receipt.record_bytes(10, began + LONGEST));
    assert_eq!(receipt.head_deadline(), Some(began + LONGEST + STALL));
    receipt.record_progress();
    assert!(receipt.record_bytes(10, began + LONGEST));
    assert_eq!(receipt.head_deadline(), None, "a body has no such deadline");
}
