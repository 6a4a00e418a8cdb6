//! Serde deserializer over nodes, with typed errors that carry the path of the value.

use std::fmt;

use serde::de::{
    DeserializeSeed, Deserializer, EnumAccess, Expected, IntoDeserializer, MapAccess, SeqAccess,
    Unexpected, VariantAccess, Visitor,
};
use serde::forward_to_deserialize_any;

use crate::node::{Content, Member, Node};
use crate::place::{Path, Step};

/// Reason why a value could not be deserialized into its type.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Cause {
    /// The object has a member that is no field of the type.
    UnknownName {
        name: String,
        /// Names of the type's fields.
        known: &'static [&'static str],
    },
    /// The object lacks a required member.
    Missing(&'static str),
    /// The text is not a variant of the enum.
    UnknownVariant {
        found: String,
        /// Names of the enum's variants.
        known: &'static [&'static str],
    },
    /// The value has the wrong type or is out of the type's range.
    Form {
        /// Kind of value that the type expects.
        expected: String,
        /// Kind of value that was found.
        found: &'static str,
    },
    /// The type's own `Deserialize` implementation rejected the value.
    Other(String),
}

/// Deserialization error with the path of the value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Fault {
    /// Steps of the value's path, innermost first.
    steps: Vec<Step>,
    /// Reason for the error.
    pub(crate) cause: Cause,
}

impl Fault {
    fn new(cause: Cause) -> Self {
        Self {
            steps: Vec::new(),
            cause,
        }
    }

    fn within(mut self, step: impl Into<Step>) -> Self {
        self.steps.push(step.into());
        self
    }

    /// Path of the value.
    pub(crate) fn path(&self) -> Path {
        Path(self.steps.iter().rev().cloned().collect())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {:?}", self.path(), self.cause)
    }
}

impl std::error::Error for Fault {}

impl serde::de::Error for Fault {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self::new(Cause::Other(message.to_string()))
    }

    fn invalid_type(unexpected: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::new(Cause::Form {
            expected: describe_expected(&expected.to_string()),
            found: describe_found(unexpected),
        })
    }

    fn invalid_value(unexpected: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::invalid_type(unexpected, expected)
    }

    fn unknown_field(name: &str, known: &'static [&'static str]) -> Self {
        Self::new(Cause::UnknownName {
            name: name.to_owned(),
            known,
        })
    }

    fn missing_field(name: &'static str) -> Self {
        Self::new(Cause::Missing(name))
    }

    fn unknown_variant(found: &str, known: &'static [&'static str]) -> Self {
        Self::new(Cause::UnknownVariant {
            found: found.to_owned(),
            known,
        })
    }
}

/// Describes the type of a value. Messages omit the value itself, since it may be a secret.
const fn describe_found(unexpected: Unexpected<'_>) -> &'static str {
    match unexpected {
        Unexpected::Bool(_) => "true or false",
        Unexpected::Unsigned(_) => "a whole number",
        Unexpected::Signed(_) => "a negative number",
        Unexpected::Float(_) => "a number with a fraction or exponent",
        Unexpected::Char(_) | Unexpected::Str(_) => "text",
        Unexpected::Unit => "null",
        Unexpected::Seq => "a list",
        Unexpected::Map => "an object",
        _ => "another kind of value",
    }
}

/// Translates serde's description of an expected type to the terms of the user documentation.
fn describe_expected(expected: &str) -> String {
    match expected {
        "u8" => "a whole number from 0 to 255".to_owned(),
        "u16" => "a whole number from 0 to 65535".to_owned(),
        "u32" => "a whole number from 0 to 4294967295".to_owned(),
        "u64" | "usize" => "a whole number of at least 0".to_owned(),
        "a boolean" => "true or false".to_owned(),
        "a string" | "path string" => "text".to_owned(),
        "a sequence" => "a list".to_owned(),
        "a map" => "an object".to_owned(),
        other if other.starts_with("struct ") => "an object".to_owned(),
        other if other.starts_with("enum ") || other.contains("variant") => "text".to_owned(),
        other => other.to_owned(),
    }
}

/// Deserializer that borrows from a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reader<'n>(pub(crate) &'n Node);

impl<'n, 'de> Deserializer<'de> for Reader<'n>
where
    'n: 'de,
{
    type Error = Fault;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        match &self.0.content {
            Content::Null => visitor.visit_unit(),
            Content::Boolean(value) => visitor.visit_bool(*value),
            Content::Number(number) => {
                if let Some(value) = number.as_u64() {
                    visitor.visit_u64(value)
                } else if let Some(value) = number.as_i64() {
                    visitor.visit_i64(value)
                } else {
                    visitor.visit_f64(number.as_f64().unwrap_or(f64::NAN))
                }
            }
            Content::Text(text) => visitor.visit_str(text),
            Content::List(items) => visitor.visit_seq(List {
                items: items.iter().enumerate(),
            }),
            Content::Object(members) => visitor.visit_map(Object {
                members: members.iter(),
                current: None,
            }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        match self.0.content {
            Content::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_newtype_struct(self)
    }

    /// Rejects lists, which derived `Deserialize` implementations accept as a sequence of fields.
    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        match self.0.content {
            Content::List(_) => Err(serde::de::Error::invalid_type(Unexpected::Seq, &visitor)),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        match &self.0.content {
            Content::Text(name) => visitor.visit_enum(Variant { name, value: None }),
            Content::Object(members) if members.len() == 1 => {
                let (name, member) = members
                    .first_key_value()
                    .expect("object has exactly one member");
                visitor.visit_enum(Variant {
                    name,
                    value: Some(&member.value),
                })
            }
            _ => self.deserialize_any(visitor),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map identifier ignored_any
    }
}

struct List<'n> {
    items: std::iter::Enumerate<std::slice::Iter<'n, Node>>,
}

impl<'n, 'de> SeqAccess<'de> for List<'n>
where
    'n: 'de,
{
    type Error = Fault;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Fault> {
        let Some((index, item)) = self.items.next() else {
            return Ok(None);
        };
        seed.deserialize(Reader(item))
            .map(Some)
            .map_err(|fault| fault.within(index))
    }
}

struct Object<'n> {
    members: std::collections::btree_map::Iter<'n, String, Member>,
    current: Option<(&'n str, &'n Node)>,
}

impl<'n, 'de> MapAccess<'de> for Object<'n>
where
    'n: 'de,
{
    type Error = Fault;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Fault> {
        let Some((name, member)) = self.members.next() else {
            return Ok(None);
        };
        self.current = Some((name, &member.value));
        seed.deserialize(name.as_str().into_deserializer())
            .map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Fault> {
        let (name, value) = self
            .current
            .take()
            .expect("next_key_seed is called before next_value_seed");
        seed.deserialize(Reader(value))
            .map_err(|fault| fault.within(name))
    }
}

struct Variant<'n> {
    name: &'n str,
    value: Option<&'n Node>,
}

impl<'n, 'de> EnumAccess<'de> for Variant<'n>
where
    'n: 'de,
{
    type Error = Fault;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(self, seed: V) -> Result<(V::Value, Self), Fault> {
        let variant = seed.deserialize(self.name.into_deserializer())?;
        Ok((variant, self))
    }
}

impl<'n, 'de> VariantAccess<'de> for Variant<'n>
where
    'n: 'de,
{
    type Error = Fault;

    fn unit_variant(self) -> Result<(), Fault> {
        match self.value {
            None => Ok(()),
            Some(_) => Err(serde::de::Error::invalid_type(Unexpected::Map, &"text")),
        }
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Fault> {
        let value = self.content()?;
        seed.deserialize(Reader(value))
            .map_err(|fault| fault.within(self.name))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _length: usize, visitor: V) -> Result<V::Value, Fault> {
        let value = self.content()?;
        Reader(value)
            .deserialize_any(visitor)
            .map_err(|fault| fault.within(self.name))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.tuple_variant(0, visitor)
    }
}

impl<'n> Variant<'n> {
    fn content(&self) -> Result<&'n Node, Fault> {
        self.value
            .ok_or_else(|| serde::de::Error::invalid_type(Unexpected::Str(""), &"an object"))
    }
}
