//! JSON values that know where they were written.

use std::collections::BTreeMap;

use serde_json::{Number, Value};

use crate::place::{Path, Place, Step};

/// A value with its place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    /// Place where the value was last set.
    pub(crate) place: Place,
    /// The value.
    pub(crate) content: Content,
}

/// Content of a node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Content {
    /// `null`.
    Null,
    /// `true` or `false`.
    Boolean(bool),
    /// A number.
    Number(Number),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// An object.
    Object(BTreeMap<String, Member>),
}

/// Member of an object.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Member {
    /// Place of the member's name.
    pub(crate) name: Place,
    /// The member's value.
    pub(crate) value: Node,
}

impl Node {
    /// An empty object.
    pub(crate) fn empty(place: Place) -> Self {
        Self {
            place,
            content: Content::Object(BTreeMap::new()),
        }
    }

    /// The part of a value that a path leads to.
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

    /// Place of a path: of the value for scalars and lists, of the name for objects. For a path
    /// that leads nowhere, the place of the innermost part that exists.
    pub(crate) fn place_of(&self, path: &Path) -> Place {
        let mut node = self;
        let mut place = &self.place;
        for step in &path.0 {
            match (step, &node.content) {
                (Step::Name(name), Content::Object(members)) => {
                    let Some(member) = members.get(name) else {
                        break;
                    };
                    node = &member.value;
                    place = match node.content {
                        Content::Object(_) => &member.name,
                        _ => &node.place,
                    };
                }
                (Step::Index(index), Content::List(items)) => {
                    let Some(item) = items.get(*index) else {
                        break;
                    };
                    node = item;
                    place = &node.place;
                }
                _ => break,
            }
        }
        place.clone()
    }

    /// Place of the name of an object's member.
    pub(crate) fn place_of_name(&mut self, path: &Path, name: &str) -> Option<Place> {
        match &self.get_mut(path)?.content {
            Content::Object(members) => members.get(name).map(|member| member.name.clone()),
            _ => None,
        }
    }

    /// The value without places.
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
