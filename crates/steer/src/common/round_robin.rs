//! Smooth weighted round robin: selects each choice in proportion to its weight, exact to within one
//! request.
//!
//! The credit of a choice is the number of turns due by its weight, minus the number of turns
//! taken.

use std::collections;
use std::hash;

/// The credit of each choice.
#[derive(Clone, Debug)]
pub struct RoundRobin<K> {
    credit: collections::BTreeMap<K, f64>,
}

impl<K> Default for RoundRobin<K> {
    fn default() -> Self {
        Self { credit: collections::BTreeMap::new() }
    }
}

impl<K: Clone + Ord + hash::Hash> RoundRobin<K> {
    /// Selects the first of `preferred` that stays at most `lead` turns ahead of its share.
    ///
    /// If there is none, selects the choice that is furthest behind its share. Related requests
    /// thus get the same choice, while shares are exact within `lead` turns. Returns `None` if no
    /// weight is above zero.
    pub fn prefer(&mut self, weights: &[(K, f64)], preferred: &[K], lead: f64) -> Option<K> {
        self.add_turn(weights)?;
        let has_room = |key: &&K| self.credit.get(*key).is_some_and(|c| *c - 1.0 >= -lead);
        let selected = match preferred.iter().find(has_room) {
            Some(key) => key.clone(),
            None => self.most_due(weights)?,
        };
        self.take_turn(&selected);
        Some(selected)
    }

    /// Selects the next choice; returns `None` if no weight is above zero.
    pub fn next(&mut self, weights: &[(K, f64)]) -> Option<K> {
        self.add_turn(weights)?;
        let selected = self.most_due(weights)?;
        self.take_turn(&selected);
        Some(selected)
    }

    /// Distributes the credit of one turn by weight; returns `None` if no weight is above zero.
    fn add_turn(&mut self, weights: &[(K, f64)]) -> Option<()> {
        let total: f64 = weights.iter().map(|(_, w)| w.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        self.credit.retain(|key, _| weights.iter().any(|(k, _)| k == key));
        for (key, weight) in weights {
            *self.credit.entry(key.clone()).or_insert(0.0) += weight.max(0.0) / total;
        }
        Some(())
    }

    /// Returns the choice that is furthest behind its share.
    fn most_due(&self, weights: &[(K, f64)]) -> Option<K> {
        let mut best: Option<(&K, f64)> = None;
        for (key, weight) in weights {
            let credit = self.credit.get(key).copied().unwrap_or_default();
            if *weight > 0.0 && best.is_none_or(|(_, max)| credit > max) {
                best = Some((key, credit));
            }
        }
        best.map(|(key, _)| key.clone())
    }

    /// Subtracts one turn from the credit of `key`.
    fn take_turn(&mut self, key: &K) {
        if let Some(credit) = self.credit.get_mut(key) {
            *credit -= 1.0;
        }
    }
}
