//! Usage: how many requests an organisation asks of a node, as nodes report it to each other.

use model::id;
use xxhash_rust::xxh3;

/// Short name of an organisation in the gossip between nodes.
///
/// Of 10,000 organisations two share one with a probability of about 1 %, by the length of the hash; both are then held
/// to the limit of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// All organisations together.
    pub const ALL: Self = Self(0);

    /// Returns the short name of an organisation.
    #[must_use]
    pub fn of(organisation: &id::Organisation) -> Self {
        let hash = xxh3::xxh3_64(organisation.as_str().as_bytes());
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        let short = hash as u32;
        Self(short.max(1))
    }
}

/// How many requests an organisation asks of a node, or of several.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The organisation.
    pub key: Key,
    /// Requests a second.
    pub rate: f64,
    /// Whether that is so much that the others should report theirs.
    pub is_near: bool,
}
