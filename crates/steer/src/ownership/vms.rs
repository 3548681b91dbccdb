//! The platform's list of VMs, which lags.
//!
//! Owns the form, as the list is read, and what an empty list means. Relies on nothing.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

/// Which VMs live and which are leaving, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The VMs; one that is gone is not listed.
    pub vms: collections::BTreeMap<net::IpAddr, State>,
}

/// The state of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
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

    /// Returns whether the VM is gone. An empty list proves nothing.
    #[must_use]
    pub fn is_gone(&self, address: net::IpAddr) -> bool {
        !self.vms.is_empty() && !self.vms.contains_key(&address)
    }
}
