//! Extracts of the store's copy as other nodes get them: compressed when long, and cached.
//!
//! Owns the encoding and a small cache, since many nodes ask for the same changes at once.

use std::collections;
use std::io::{self, Read as _, Write as _};

use bytes::Bytes;
use platform::store::position;
use wire::gateway::extract;

use crate::gateway::replica;

/// Extracts that are cached; nodes that are behind ask from a few revisions. Not measured.
const MOST_KEPT: usize = 4;

/// Largest extract after decompression, in bytes, so that a small answer cannot fill the memory. Not
/// measured.
const LARGEST: u64 = 64 * 1_024 * 1_024;

/// Length from which extracts are compressed, in bytes. Not measured.
const SMALLEST_COMPRESSED: usize = 16 * 1_024;

/// First bytes of what is compressed (RFC 1952, section 2.3.1).
const COMPRESSED: [u8; 2] = [0x1f, 0x8b];

/// An extract, and the positions between which it holds the changes.
#[derive(Clone, Debug)]
struct Kept {
    after: position::Position,
    at: position::Position,
    bytes: Bytes,
}

/// Extracts that were asked for lately.
#[derive(Clone, Debug, Default)]
pub struct Extracts {
    kept: collections::VecDeque<Kept>,
}

impl Extracts {
    /// Returns what changed in `replica` after `after`, encoded.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be encoded, which would be a bug.
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

/// Encodes an extract as JSON, compressed when it is long.
///
/// # Errors
///
/// Fails when it cannot be encoded, which would be a bug.
pub fn encode(extract: &extract::Extract) -> io::Result<Vec<u8>> {
    let text = serde_json::to_vec(extract)?;
    if text.len() < SMALLEST_COMPRESSED {
        return Ok(text);
    }
    let mut encoder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(&text)?;
    encoder.finish()
}

/// Reads what [`encode`] wrote.
///
/// # Errors
///
/// Fails when `bytes` are not an extract, or one that is too large.
pub fn decode(bytes: &[u8]) -> io::Result<extract::Extract> {
    if !bytes.starts_with(&COMPRESSED) {
        return Ok(serde_json::from_slice(bytes)?);
    }
    let mut text = Vec::new();
    flate2::read::GzDecoder::new(bytes).take(LARGEST).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
