//! Steps: the operations and faults of which a case consists.

use quickcheck::{Arbitrary, Gen};

/// An operation or a fault. Numbers select a node, message or request, modulo how many there are.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes, in milliseconds, without message delivery.
    Pass(u16),
    /// Time passes, in milliseconds, and all messages are delivered at once.
    Quiet(u16),
    /// One message is delivered.
    Deliver(u16),
    /// One message is lost.
    Lose(u16),
    /// A node is offered requests.
    Offer(u8, u8),
    /// A request ends at its upstream.
    Finish(u16),
    /// A node abandons a request, which its upstream notices later.
    Abandon(u16),
    /// A node is paused.
    Pause(u8),
    /// A paused node continues.
    Resume(u8),
    /// A node's process is killed.
    Kill(u8),
    /// A node's process starts.
    Start(u8),
    /// A node is asked to stop.
    Stop(u8),
    /// The link between two nodes is cut.
    Cut(u8, u8),
    /// All links are restored.
    Heal,
    /// The store becomes available or unavailable.
    Store(bool),
    /// The answer of the next write to the store is lost.
    LoseAnswer,
    /// The VM of a node that is not running is removed from the VM list.
    Gone(u8),
    /// A node reads the store.
    Read(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        let wide = u16::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..=7 => Self::Pass(wide % 1_500),
            8..=19 => Self::Quiet(wide % 4_000),
            20..=25 => Self::Deliver(wide),
            26..=28 => Self::Lose(wide),
            29..=41 => Self::Offer(a, b),
            42..=46 => Self::Finish(wide),
            47..=48 => Self::Abandon(wide),
            49..=50 => Self::Pause(a),
            51..=52 => Self::Resume(a),
            53 => Self::Kill(a),
            54..=55 => Self::Start(a),
            56 => Self::Stop(a),
            57..=58 => Self::Cut(a, b),
            59 => Self::Heal,
            60 => Self::Store(wide % 2 == 0),
            61 => Self::LoseAnswer,
            62 => Self::Gone(a),
            _ => Self::Read(a),
        }
    }
}
