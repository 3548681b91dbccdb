//! Smooth weighted round robin: each choice is taken in its share, right within one request.

use std::collections;
use std::hash;

/// The state of the rotation.
#[derive(Clone, Debug)]
pub struct Wheel<K> {
    credit: collections::BTreeMap<K, f64>,
}

impl<K> Default for Wheel<K> {
    fn default() -> Self {
        Self { credit: collections::BTreeMap::new() }
    }
}

impl<K: Clone + Ord + hash::Hash> Wheel<K> {
    /// Takes the next of `weights`; none when no weight is above zero.
    pub fn next(&mut self, weights: &[(K, f64)]) -> Option<K> {
        let total: f64 = weights.iter().map(|(_, w)| w.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        self.credit.retain(|key, _| weights.iter().any(|(k, _)| k == key));
        let mut best: Option<(&K, f64)> = None;
        for (key, weight) in weights {
            let credit = self.credit.entry(key.clone()).or_insert(0.0);
            *credit += weight.max(0.0) / total;
            if *weight > 0.0 && best.is_none_or(|(_, most)| *credit > most) {
                best = Some((key, *credit));
            }
        }
        let (key, _) = best?;
        if let Some(credit) = self.credit.get_mut(key) {
            *credit -= 1.0;
        }
        Some(key.clone())
    }
}
