//! Format of leaving upstreams in load reports and facts.

use std::time::Duration;

use model::id;
use steer::dispatch::incarnation;
use steer::dispatch::leaving;
use wire::gateway::loads as message;

/// Error for parallel lists that differ in length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Uneven {
    /// Number of names.
    pub names: usize,
    /// Number of values.
    pub figures: usize,
}

/// Encodes announcements.
pub(super) fn encode(leavings: &[leaving::Announcement]) -> message::LeavingProcesses {
    let name = |announced: &leaving::Announcement| announced.incarnation.upstream.to_string();
    message::LeavingProcesses {
        upstreams: leavings.iter().map(name).collect(),
        born: leavings.iter().map(|announced| announced.incarnation.born).collect(),
        ages: leavings.iter().map(|announced| millis(announced.age)).collect(),
    }
}

/// Decodes announcements.
///
/// # Errors
///
/// Fails if the lists differ in length.
pub(super) fn read(
    leavings: &message::LeavingProcesses,
) -> Result<Vec<leaving::Announcement>, Uneven> {
    let names = leavings.upstreams.len();
    if let Some(figures) =
        [leavings.born.len(), leavings.ages.len()].into_iter().find(|length| *length != names)
    {
        return Err(Uneven { names, figures });
    }
    let announcement = |index: usize| leaving::Announcement {
        incarnation: incarnation::Incarnation {
            upstream: id::Upstream::new(&leavings.upstreams[index]),
            born: leavings.born[index],
        },
        age: Duration::from_millis(leavings.ages[index].into()),
    };
    Ok((0..names).map(announcement).collect())
}

/// Returns a time in milliseconds, limited to the range of the message field.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
