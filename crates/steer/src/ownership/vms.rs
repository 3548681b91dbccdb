//! The platform's list of VMs, which may be out of date.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

/// The running and leaving VMs, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The state of each VM; a VM that is gone is not listed.
    pub vms: collections::BTreeMap<net::IpAddr, State>,
}

/// The state of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is running.
    Live,
    /// It will stop soon.
    Leaving,
}

impl List {
    /// Returns whether the VM is listed as leaving.
    #[must_use]
    pub fn is_leaving(&self, address: net::IpAddr) -> bool {
        self.vms.get(&address) == Some(&State::Leaving)
    }

    /// Returns whether the VM is gone. An empty list does not prove that.
    #[must_use]
    pub fn is_gone(&self, address: net::IpAddr) -> bool {
        !self.vms.is_empty() && !self.vms.contains_key(&address)
    }
}
