//! Opens addresses of the platform's store.

use std::sync;

use standin::platform::door;

use crate::rig;

/// Opens an address of the rig's store.
pub async fn open(rig: &rig::Rig) -> sync::Arc<door::Door> {
    rig.store.open().await.expect("the store opens")
}
