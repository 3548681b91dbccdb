//! Calls that the store answered.

/// Calls that were answered, by what they are charged as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Pages of latest reads.
    pub reads: u32,
    /// Pages of stale reads.
    pub stale_reads: u32,
    /// Watches.
    pub watches: u32,
    /// Writes and new leases.
    pub writes: u32,
    /// Renewals of leases.
    pub renewals: u32,
}
