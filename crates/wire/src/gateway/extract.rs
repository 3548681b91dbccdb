//! Extracts: items of one gateway's copy of the store that another gateway's copy lacks, as JSON.

use platform::store::item;
use serde::{Deserialize, Serialize};

/// Part of a gateway's copy of the store, with items in the store's own format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Extract {
    /// All items, or the items changed after a revision, including removed ones.
    pub page: item::Page,
    /// Whether `page` contains all items, so that any other item was removed.
    pub is_whole: bool,
    /// Number of the sender's fleet; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub fleet: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_unknown(fleet: &u32) -> bool {
    *fleet == 0
}
