//! Extracts: encoded changes of this node's copy of the store for other nodes, compressed and cached.
//!
//! Owns the encoding and a small cache, since many nodes ask for the same changes at once.

use std::collections;
use std::io::{self, Read as _, Write as _};

use bytes::Bytes;
use platform::store::position;
use wire::gateway::extract;

use crate::gateway::replica;

/// Number of cached extracts; the nodes that are behind ask from only a few revisions.
const MOST_KEPT: usize = 4;

/// Maximum size of a decompressed extract, in bytes, so that a small response cannot exhaust memory.
const LARGEST: u64 = 64 * 1_024 * 1_024;

/// Minimum size of an extract that is compressed, in bytes.
const SMALLEST_COMPRESSED: usize = 16 * 1_024;

/// First bytes of a compressed extract (RFC 1952, section 2.3.1).
const COMPRESSED: [u8; 2] = [0x1f, 0x8b];

/// An encoded extract with the range of positions that it covers.
#[derive(Clone, Debug)]
struct Kept {
    after: position::Position,
    at: position::Position,
    bytes: Bytes,
}

/// Recently requested extracts.
#[derive(Clone, Debug, Default)]
pub struct Extracts {
    kept: collections::VecDeque<Kept>,
}

impl Extracts {
    /// Returns the encoded changes of `replica` after `after`.
    ///
    /// # Errors
    ///
    /// Fails if the extract cannot be encoded, which would be a bug.
    pub fn get(
        &mut self,
        replica: &replica::Replica,
        after: position::Position,
    ) -> io::Result<Bytes> {
        let at = replica.at();
        if let Some(kept) = self.kept.iter().find(|k| (k.after, k.at) == (after, at)) {
            return Ok(kept.bytes.clone());
        }
        let bytes = Bytes::from(encode(&replica.extract(after))?);
        self.kept.push_back(Kept { after, at, bytes: bytes.clone() });
        if self.kept.len() > MOST_KEPT {
            self.kept.pop_front();
        }
        Ok(bytes)
    }
}

/// Encodes an extract as JSON, compressed if it is long.
///
/// # Errors
///
/// Fails if the extract cannot be encoded, which would be a bug.
pub fn encode(extract: &extract::Extract) -> io::Result<Vec<u8>> {
    let text = serde_json::to_vec(extract)?;
    if text.len() < SMALLEST_COMPRESSED {
        return Ok(text);
    }
    let mut encoder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(&text)?;
    encoder.finish()
}

/// Decodes the output of [`encode`].
///
/// # Errors
///
/// Fails if `bytes` do not contain an extract or it exceeds the maximum size.
pub fn decode(bytes: &[u8]) -> io::Result<extract::Extract> {
    if !bytes.starts_with(&COMPRESSED) {
        return Ok(serde_json::from_slice(bytes)?);
    }
    let mut text = Vec::new();
    flate2::read::GzDecoder::new(bytes).take(LARGEST).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
