//! Smooth weighted round robin: each choice is taken in its share, exact within one request.
//!
//! Owns the credit of each choice: the turns that its weight earned, less those that it took.

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
    /// Takes the first of `wanted` that is at most `lead` turns ahead of its share.
    ///
    /// Without one, takes the choice that is furthest behind. So requests that should go alike do, and
    /// shares still hold within `lead`. None when no weight is above zero.
    pub fn prefer(&mut self, weights: &[(K, f64)], wanted: &[K], lead: f64) -> Option<K> {
        self.earn(weights)?;
        let has_room = |key: &&K| self.credit.get(*key).is_some_and(|c| *c - 1.0 >= -lead);
        let taken = match wanted.iter().find(has_room) {
            Some(key) => key.clone(),
            None => self.furthest(weights)?,
        };
        self.spend(&taken);
        Some(taken)
    }

    /// Takes the next of `weights`; none when no weight is above zero.
    pub fn next(&mut self, weights: &[(K, f64)]) -> Option<K> {
        self.earn(weights)?;
        let taken = self.furthest(weights)?;
        self.spend(&taken);
        Some(taken)
    }

    /// Adds one turn, in proportion to the weights; none when no weight is above zero.
    fn earn(&mut self, weights: &[(K, f64)]) -> Option<()> {
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
    fn furthest(&self, weights: &[(K, f64)]) -> Option<K> {
        let mut best: Option<(&K, f64)> = None;
        for (key, weight) in weights {
            let credit = self.credit.get(key).copied().unwrap_or_default();
            if *weight > 0.0 && best.is_none_or(|(_, most)| credit > most) {
                best = Some((key, credit));
            }
        }
        best.map(|(key, _)| key.clone())
    }

    fn spend(&mut self, key: &K) {
        if let Some(credit) = self.credit.get_mut(key) {
            *credit -= 1.0;
        }
    }
}
