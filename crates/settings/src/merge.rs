//! Merge of documents: objects deep, `null` removes, everything else replaces.

use crate::node::{Content, Member, Node};

/// Merges `overlay` into `base`.
///
/// A `null` in an object of the overlay removes the member of that name; removing a member that
/// does not exist has no effect. A merged object gets the place of the overlay's.
pub(crate) fn merge(base: &mut Node, overlay: Node) {
    match (&mut base.content, overlay.content) {
        (Content::Object(members), Content::Object(changes)) => {
            base.place = overlay.place;
            for (name, change) in changes {
                if change.value.content == Content::Null {
                    members.remove(&name);
                    continue;
                }
                let member = members.entry(name).or_insert_with(|| Member {
                    name: change.name.clone(),
                    // A new object is merged into an empty one, so that its nulls are dropped.
                    value: Node::empty(change.value.place.clone()),
                });
                member.name = change.name;
                merge(&mut member.value, change.value);
            }
        }
        (_, content @ Content::Object(_)) => {
            *base = Node::empty(overlay.place.clone());
            merge(
                base,
                Node {
                    place: overlay.place,
                    content,
                },
            );
        }
        (_, content) => {
            *base = Node {
                place: overlay.place,
                content,
            };
        }
    }
}
