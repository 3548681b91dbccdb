//! Heartbeats and who is alive by them.

use std::time::{Duration, Instant};

use model::id;
use node::gateway::{datagram, member, members};
use quickcheck::quickcheck;

fn member(node: &str, incarnation: u64, sequence: u64) -> member::Member {
    member::Member {
        node: id::Node::new(node),
        incarnation,
        sequence,
        region: id::Region::new("north"),
        hall: id::Hall::new("n-1"),
        callers: ([127, 0, 0, 1], 80).into(),
        peers: ([127, 0, 0, 1], 81).into(),
        is_ready: true,
        is_leaving: false,
        is_store_reached: true,
        at: 7,
    }
}

#[test]
fn a_heartbeat_is_read_as_it_was_written_and_is_short() {
    let sent = member("entry-north-1", 1_790_000_000_000, 40);
    let written = datagram::write(&sent);
    assert_eq!(datagram::read(&written), Some(sent));
    assert!(written.len() < 100, "{}", written.len());
}

#[test]
fn silence_ends_a_life_and_an_older_heartbeat_does_not_renew_it() {
    let now = Instant::now();
    let mut members = members::Members::default();
    assert!(members.hear(member("a", 1, 5), now));
    let later = now + members::DEAD_AFTER;
    assert_eq!(members.alive(later).count(), 0);
    // A datagram that was late on its way.
    assert!(!members.hear(member("a", 1, 4), later));
    assert_eq!(members.alive(later).count(), 0);
    // A new start of the same node counts from the beginning.
    assert!(members.hear(member("a", 2, 1), later));
    assert_eq!(members.alive(later + Duration::from_millis(1)).count(), 1);
}

quickcheck! {
    fn whatever_arrives_is_read_or_passed_over(bytes: Vec<u8>) -> bool {
        let mut marked = vec![datagram::MARK];
        marked.extend(&bytes);
        let again = datagram::read(&marked).map(|m| datagram::read(&datagram::write(&m)) == Some(m));
        again != Some(false) && (bytes.first() == Some(&datagram::MARK) || datagram::read(&bytes).is_none())
    }
}
