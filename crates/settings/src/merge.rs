//! Merges documents: objects recursively; `null` removes a member; any other value replaces.

use crate::node::{Content, Member, Node};

/// Merges `overlay` into `base`.
///
/// A `null` in an object of the overlay removes the member of that name, if there is one. A merged
/// object takes the location of the overlay's object.
pub(crate) fn merge(base: &mut Node, overlay: Node) {
    match (&mut base.content, overlay.content) {
        (Content::Object(members), Content::Object(changes)) => {
            base.location = overlay.location;
            for (name, change) in changes {
                if change.value.content == Content::Null {
                    members.remove(&name);
                    continue;
                }
                let member = members.entry(name).or_insert_with(|| Member {
                    name: change.name.clone(),
                    // Merging a new object into an empty one drops its nulls.
                    value: Node::empty(change.value.location.clone()),
                });
                member.name = change.name;
                merge(&mut member.value, change.value);
            }
        }
        (_, content @ Content::Object(_)) => {
            *base = Node::empty(overlay.location.clone());
            merge(
                base,
                Node {
                    location: overlay.location,
                    content,
                },
            );
        }
        (_, content) => {
            *base = Node {
                location: overlay.location,
                content,
            };
        }
    }
}
