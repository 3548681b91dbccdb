//! Opens addresses of the platform's store.

use std::sync;

use standin::platform::listener;

use crate::rig;

/// Opens an address of the rig's store.
pub async fn open(rig: &rig::Rig) -> sync::Arc<listener::Listener> {
    rig.store.open().await.expect("the store opens")
}
