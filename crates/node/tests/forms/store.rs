//! Opens addresses of the platform's store.

use std::io;
use std::sync;

use standin::platform::door;

use crate::rig;

/// Tries to get a port; the store gives each back for a moment before it listens there, and other
/// tests of this process take ports too.
const TRIES: usize = 10;

/// Opens an address of the rig's store.
pub async fn open(rig: &rig::Rig) -> sync::Arc<door::Door> {
    for _ in 0..TRIES {
        match rig.store.open().await {
            Ok(door) => return door,
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => panic!("the store does not open: {error}"),
        }
    }
    panic!("no port stays free");
}
