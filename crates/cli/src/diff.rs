//! The difference between what is declared and what stands.

use std::collections;

use model::change;
use model::resource;
use similar::{ChangeTag, TextDiff};

/// The steps from `standing` to `wanted`, with their text.
#[derive(Debug, Default)]
pub struct Diff {
    /// The steps.
    pub steps: Vec<change::Step>,
    /// What changes, for a person.
    pub text: String,
}

type Named = collections::BTreeMap<(resource::Kind, String), resource::Resource>;

/// Compares; resources that are not wanted are deleted when `prune` says so.
#[must_use]
pub fn between(
    standing: Vec<resource::Resource>,
    wanted: Vec<resource::Resource>,
    prune: bool,
) -> Diff {
    let standing = by_name(standing);
    let wanted = by_name(wanted);
    let mut diff = Diff::default();
    for (key, resource) in &wanted {
        let before = standing.get(key);
        if before != Some(resource) {
            diff.text.push_str(&describe(key, before, Some(resource)));
            diff.steps.push(change::Step::Put { resource: resource.clone() });
        }
    }
    // Later kinds depend on earlier ones, so they go first.
    let surplus = standing.iter().rev().filter(|(key, _)| prune && !wanted.contains_key(*key));
    for (key, before) in surplus {
        diff.text.push_str(&describe(key, Some(before), None));
        diff.steps.push(change::Step::Delete { kind: key.0, name: key.1.clone() });
    }
    diff
}

fn by_name(resources: Vec<resource::Resource>) -> Named {
    resources.into_iter().map(|r| ((r.kind(), r.name().to_owned()), r)).collect()
}

fn describe(
    key: &(resource::Kind, String),
    before: Option<&resource::Resource>,
    after: Option<&resource::Resource>,
) -> String {
    let verb = match (before, after) {
        (None, _) => "create",
        (_, None) => "delete",
        _ => "change",
    };
    let mut text = format!("{verb} {} {}\n", key.0, key.1);
    let (before, after) = (yaml(before), yaml(after));
    for change in TextDiff::from_lines(&before, &after).iter_all_changes() {
        let sign = match change.tag() {
            ChangeTag::Delete => '-',
            ChangeTag::Insert => '+',
            ChangeTag::Equal => continue,
        };
        text.push_str(&format!("  {sign} {}\n", change.value().trim_end()));
    }
    text
}

fn yaml(resource: Option<&resource::Resource>) -> String {
    resource.and_then(|r| serde_yaml_ng::to_string(r).ok()).unwrap_or_default()
}
