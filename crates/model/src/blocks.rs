//! Lookup table from a caller's IP address to its place.
//!
//! A table is built from the places of one snapshot and is not updated; a new snapshot needs a new
//! table.

use std::fmt;
use std::net;

use prefix_trie::PrefixMap;

use crate::id;
use crate::place;

/// The client blocks of all places, indexed for longest-prefix match.
#[derive(Clone, Default)]
pub struct Table {
    ipv4: PrefixMap<ipnet::Ipv4Net, u32>,
    ipv6: PrefixMap<ipnet::Ipv6Net, u32>,
    places: Vec<id::Place>,
}

impl Table {
    /// Builds the table from the client blocks of `places`.
    #[must_use]
    pub fn new<'a>(places: impl Iterator<Item = &'a place::Place>) -> Self {
        let mut table = Self::default();
        for place in places {
            table.add(place);
        }
        table
    }

    /// Returns the place of the most specific block that contains `address`.
    #[must_use]
    pub fn find(&self, address: net::IpAddr) -> Option<&id::Place> {
        let index = match address.to_canonical() {
            net::IpAddr::V4(ipv4) => self.ipv4.get_lpm(&ipnet::Ipv4Net::from(ipv4))?.1,
            net::IpAddr::V6(ipv6) => self.ipv6.get_lpm(&ipnet::Ipv6Net::from(ipv6))?.1,
        };
        self.places.get(usize::try_from(*index).ok()?)
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ipv4.len() + self.ipv6.len()
    }

    /// Returns whether the table has no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn add(&mut self, place: &place::Place) {
        let index = u32::try_from(self.places.len()).unwrap_or(u32::MAX);
        self.places.push(place.name.clone());
        for block in &place.blocks {
            match block {
                ipnet::IpNet::V4(ipv4) => self.ipv4.insert(ipv4.trunc(), index),
                ipnet::IpNet::V6(ipv6) => self.ipv6.insert(ipv6.trunc(), index),
            };
        }
    }
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table").field("blocks", &self.len()).finish_non_exhaustive()
    }
}
