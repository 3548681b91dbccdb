//! Extracts: what one gateway's copy of the store has that another's lacks, as JSON.

use platform::store::item;
use serde::{Deserialize, Serialize};

/// Part of a gateway's copy of the store. Items have the form that the store gives them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Extract {
    /// Items; all of them, or those after a revision with removed ones among them.
    pub page: item::Page,
    /// Whether these are all items, so that any other was removed.
    pub is_whole: bool,
    /// The number of the sender's fleet; 0 where it is not known.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub fleet: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_unknown(fleet: &u32) -> bool {
    *fleet == 0
}
