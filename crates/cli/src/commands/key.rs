//! `yokespoke key`: keys of organisations, and the digests that declarations hold.

use std::io::{self, Read as _};

use anyhow::Context as _;
use model::key;
use rand::distr::{Alphanumeric, SampleString as _};
use zeroize::Zeroizing;

use crate::args;
use crate::exit;
use crate::printer;

/// Characters of a new key: letters and digits, each worth almost six bits, so that no key can be guessed.
const NEW_KEY_CHARACTERS: usize = 32;

/// Makes a key, or prints the digest of one.
///
/// # Errors
///
/// Fails when standard input cannot be read, or holds no key.
pub fn run(args: &args::Key) -> anyhow::Result<exit::Code> {
    match args.command {
        args::KeyCommand::New => {
            let key =
                Zeroizing::new(Alphanumeric.sample_string(&mut rand::rng(), NEW_KEY_CHARACTERS));
            printer::line(&key);
            printer::line(&key::Digest::of(key.as_bytes()).to_string());
        }
        args::KeyCommand::Digest => printer::line(&digest(&mut io::stdin().lock())?.to_string()),
    }
    Ok(exit::Code::Done)
}

/// Reads a key, one line, and digests it; the error does not repeat it.
fn digest(input: &mut impl io::Read) -> anyhow::Result<key::Digest> {
    let mut bytes = Zeroizing::new(Vec::with_capacity(key::MAX_BYTES + 2));
    // One byte more than a key and its end of line, so that a longer one is not cut.
    let longest = u64::try_from(key::MAX_BYTES + 3)?;
    input.take(longest).read_to_end(&mut bytes).context("standard input cannot be read")?;
    let key = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
    let key = key.strip_suffix(b"\r").unwrap_or(key);
    let is_key = (1..=key::MAX_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    anyhow::ensure!(is_key, "expected one key of 1 to {} visible characters", key::MAX_BYTES);
    Ok(key::Digest::of(key))
}
