//! JSON values annotated with their source locations.

use std::collections::BTreeMap;

use serde_json::{Number, Value};

use crate::place::{Location, Path, Step};

/// A JSON value with its source location.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    /// Location where the value was last set by a merged file.
    pub(crate) location: Location,
    pub(crate) content: Content,
}

/// JSON value whose parts are nodes with locations.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Content {
    Null,
    Boolean(bool),
    Number(Number),
    Text(String),
    List(Vec<Node>),
    /// Members by name.
    Object(BTreeMap<String, Member>),
}

/// Member of an object, with the location of its name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Member {
    /// Location of the name; the name itself is the key in the object.
    pub(crate) name: Location,
    pub(crate) value: Node,
}

impl Node {
    /// Creates an empty object.
    pub(crate) fn empty(location: Location) -> Self {
        Self {
            location,
            content: Content::Object(BTreeMap::new()),
        }
    }

    /// The node at a path relative to this node; `None` if it does not exist.
    pub(crate) fn get_mut(&mut self, path: &Path) -> Option<&mut Self> {
        let mut node = self;
        for step in &path.0 {
            node = match (step, &mut node.content) {
                (Step::Name(name), Content::Object(members)) => &mut members.get_mut(name)?.value,
                (Step::Index(index), Content::List(items)) => items.get_mut(*index)?,
                _ => return None,
            };
        }
        Some(node)
    }

    /// Location to report for a path: that of the value for scalars and lists, that of the member's
    /// name for objects. If the path does not exist, that of its deepest existing ancestor.
    pub(crate) fn location_of(&self, path: &Path) -> Location {
        let mut node = self;
        let mut location = &self.location;
        for step in &path.0 {
            match (step, &node.content) {
                (Step::Name(name), Content::Object(members)) => {
                    let Some(member) = members.get(name) else {
                        break;
                    };
                    node = &member.value;
                    location = match node.content {
                        Content::Object(_) => &member.name,
                        _ => &node.location,
                    };
                }
                (Step::Index(index), Content::List(items)) => {
                    let Some(item) = items.get(*index) else {
                        break;
                    };
                    node = item;
                    location = &node.location;
                }
                _ => break,
            }
        }
        location.clone()
    }

    /// Location of a member's name in the object at `path`.
    pub(crate) fn name_location(&mut self, path: &Path, name: &str) -> Option<Location> {
        match &self.get_mut(path)?.content {
            Content::Object(members) => members.get(name).map(|member| member.name.clone()),
            _ => None,
        }
    }

    /// Converts the node to plain JSON, without locations.
    pub(crate) fn to_value(&self) -> Value {
        match &self.content {
            Content::Null => Value::Null,
            Content::Boolean(value) => Value::Bool(*value),
            Content::Number(number) => Value::Number(number.clone()),
            Content::Text(text) => Value::String(text.clone()),
            Content::List(items) => Value::Array(items.iter().map(Self::to_value).collect()),
            Content::Object(members) => Value::Object(
                members
                    .iter()
                    .map(|(name, member)| (name.clone(), member.value.to_value()))
                    .collect(),
            ),
        }
    }
}
