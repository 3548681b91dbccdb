//! Answers whose every byte depends on their request, so that a crossed or short one is detected.
//!
//! It owns the pattern; [`crate::upstream`] answers with it and callers check it. It relies on no
//! other module.

/// Returns the body that answers the request called `id`.
#[must_use]
pub fn body(id: &str, len: usize) -> bytes::Bytes {
    let seed = id.bytes().fold(0_u32, |sum, b| sum.wrapping_mul(31).wrapping_add(u32::from(b)));
    let mut state = seed | 1;
    let mut out = Vec::with_capacity(len);
    for _ in 0..len {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        out.push(state.to_be_bytes()[0]);
    }
    out.into()
}

/// Returns whether `got` is the whole answer to the request called `id`.
#[must_use]
pub fn is_whole(id: &str, len: usize, got: &[u8]) -> bool {
    got == body(id, len)
}
