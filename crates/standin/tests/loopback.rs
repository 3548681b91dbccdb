//! Addresses of deployments on loopback.

use std::collections;

use standin::loopback;

#[test]
fn deployments_of_a_process_have_addresses_of_their_own() {
    let mut addresses = collections::BTreeSet::from([loopback::address()]);
    for _ in 0..1_000 {
        let next = loopback::next();
        assert!(next.is_loopback() && addresses.insert(next), "{next}");
    }
}
