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
}
