//! Organisations of a soak: their keys, and what upstreams and callers may see of them.

use crate::rig::Organisation;

/// Begins every key, so that one that leaks is found.
pub const MARK: &str = "marked-key";

/// A key that operators take away and give back.
pub const REVOCABLE: &str = "marked-key-b-revocable";

/// Keys of callers, in turn, and the organisation that has each.
pub const KEYS: [(&str, &str); 4] = [
    ("marked-key-a", "mairie"),
    ("marked-key-c", "hotel"),
    (REVOCABLE, "mairie"),
    ("marked-key-d", "bus"),
];

/// Requests a second that the organisation with a limit may send; far below what its callers ask.
const RATE: u32 = 25;

/// Most requests of it that may run in [`WINDOW_SECONDS`], with the tenth and the twenty that deployments grant.
pub const MOST_IN_WINDOW: usize = 157;

/// Seconds of the window in which requests are counted.
pub const WINDOW_SECONDS: u64 = 5;

/// The organisation with a limit.
pub const LIMITED: &str = "bus";

/// Returns the organisations, with or without the key that is taken away at times.
pub fn all(is_revoked: bool) -> Vec<Organisation<'static>> {
    let keys: &[&str] = match is_revoked {
        true => &["marked-key-a"],
        false => &["marked-key-a", REVOCABLE],
    };
    let none = Organisation::default();
    vec![
        Organisation { name: "mairie", keys, ..none },
        Organisation { name: "hotel", keys: &["marked-key-c"], homes: &["north"], ..none },
        Organisation { name: LIMITED, keys: &["marked-key-d"], rate: RATE, ..none },
    ]
}
