//! Who may use the resource API.

use http::{HeaderMap, header};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::owner::settings;

/// The tokens that are accepted.
#[derive(Clone)]
pub struct Access {
    operators: Vec<(String, [u8; 32], settings::May)>,
}

impl std::fmt::Debug for Access {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names = self.operators.iter().map(|(name, _, may)| (name, may));
        f.debug_map().entries(names).finish()
    }
}

/// An operator whose token was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name from the settings.
    pub name: String,
    /// What the operator may do.
    pub may: settings::May,
}

impl Access {
    /// Takes the operators of the settings, whose hashes were checked.
    #[must_use]
    pub fn new(operators: &[settings::Operator]) -> Self {
        let entry = |operator: &settings::Operator| {
            let hash = decode(&operator.token_sha256)?;
            Some((operator.name.clone(), hash, operator.may))
        };
        Self { operators: operators.iter().filter_map(entry).collect() }
    }

    /// Returns the operator whose bearer token the request carries.
    ///
    /// Hashes are compared in constant time.
    #[must_use]
    pub fn check(&self, headers: &HeaderMap) -> Option<Operator> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let token = value.strip_prefix("Bearer ")?;
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let mut found = None;
        for (name, expected, may) in &self.operators {
            if bool::from(hash.ct_eq(expected)) {
                found = Some(Operator { name: name.clone(), may: *may });
            }
        }
        found
    }
}

/// Returns the hash of a token, as settings hold it.
#[must_use]
pub fn hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        let digits = text.get(index * 2..index * 2 + 2)?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(hash)
}
