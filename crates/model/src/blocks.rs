//! The table from a caller's address to its place.
//!
//! Owns a prefix table built from the places of one snapshot; a new snapshot needs a new table.

use std::fmt;
use std::net;

use prefix_trie::PrefixMap;

use crate::id;
use crate::place;

/// Client blocks of all places, found by longest prefix.
#[derive(Clone, Default)]
pub struct Table {
    four: PrefixMap<ipnet::Ipv4Net, u32>,
    six: PrefixMap<ipnet::Ipv6Net, u32>,
    places: Vec<id::Place>,
}

impl Table {
    /// Builds the table of `places`.
    #[must_use]
    pub fn new<'a>(places: impl Iterator<Item = &'a place::Place>) -> Self {
        let mut table = Self::default();
        for place in places {
            table.add(place);
        }
        table
    }

    /// Returns the place of the longest block that holds `address`.
    #[must_use]
    pub fn find(&self, address: net::IpAddr) -> Option<&id::Place> {
        let index = match address.to_canonical() {
            net::IpAddr::V4(four) => self.four.get_lpm(&ipnet::Ipv4Net::from(four))?.1,
            net::IpAddr::V6(six) => self.six.get_lpm(&ipnet::Ipv6Net::from(six))?.1,
        };
        self.places.get(usize::try_from(*index).ok()?)
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.four.len() + self.six.len()
    }

    /// Returns whether no block is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn add(&mut self, place: &place::Place) {
        let index = u32::try_from(self.places.len()).unwrap_or(u32::MAX);
        self.places.push(place.name.clone());
        for block in &place.blocks {
            match block {
                ipnet::IpNet::V4(four) => self.four.insert(four.trunc(), index),
                ipnet::IpNet::V6(six) => self.six.insert(six.trunc(), index),
            };
        }
    }
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table").field("blocks", &self.len()).finish_non_exhaustive()
    }
}
