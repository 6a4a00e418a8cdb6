//! Collects all type errors of a document, although deserialization stops at the first one.
//!
//! Each invalid value is reported and replaced by a placeholder; then the document is deserialized
//! again.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde_json::Number;

use crate::near::{did_you_mean, nearest};
use crate::node::{Content, Member, Node};
use crate::place::{Location, Path, Step};
use crate::reader::{Cause, Fault, Reader};
use crate::{Finding, Source};

/// Maximum number of type errors reported per document; each costs another deserialization pass.
const MAX_FINDINGS: usize = 200;

/// Placeholder texts for invalid values. Standard library types that are written as text accept one
/// of them.
const PLACEHOLDER_TEXTS: [&str; 3] = ["", "127.0.0.1:1", "127.0.0.1"];

/// Index of the last placeholder; the texts are followed by a number, a boolean, a list and an
/// object.
const LAST_PLACEHOLDER: usize = PLACEHOLDER_TEXTS.len() + 3;

/// Maximum number of deserialization passes; one invalid value needs up to eight.
const MAX_PASSES: usize = 8 * MAX_FINDINGS;

/// Result of deserializing a document, with its type errors.
#[derive(Debug)]
pub(crate) struct Outcome<T> {
    /// The document, with placeholders for invalid values; `None` if no placeholder was accepted or
    /// a limit was reached.
    pub(crate) value: Option<T>,
    /// Paths whose values are placeholders, and paths that a misspelt name was probably meant for.
    pub(crate) faulty: Vec<Path>,
    pub(crate) findings: Vec<Finding>,
}

/// Deserializes a document into a type and collects all its type errors.
pub(crate) fn read<T: DeserializeOwned>(source: &Source) -> Outcome<T> {
    // Published documents are valid and read by every host, so this path avoids copying the tree.
    if let Ok(value) = T::deserialize(Reader(&source.root)) {
        return Outcome {
            value: Some(value),
            faulty: Vec::new(),
            findings: Vec::new(),
        };
    }
    let mut recovery = Recovery {
        source,
        tree: source.root.clone(),
        attempts: HashMap::new(),
        faulty: Vec::new(),
        findings: Vec::new(),
    };
    let mut value = None;
    for _ in 0..MAX_PASSES {
        match T::deserialize(Reader(&recovery.tree)) {
            Ok(read) => {
                value = Some(read);
                break;
            }
            Err(fault) => {
                if recovery.findings.len() == MAX_FINDINGS || !recovery.recover(&fault) {
                    break;
                }
            }
        }
    }
    Outcome {
        value,
        faulty: recovery.faulty,
        findings: recovery.findings,
    }
}

struct Recovery<'s> {
    source: &'s Source,
    tree: Node,
    /// Number of placeholders tried so far, by path.
    attempts: HashMap<Path, usize>,
    faulty: Vec<Path>,
    findings: Vec<Finding>,
}

impl Recovery<'_> {
    /// Reports an error and changes the tree so that the next pass gets past it. Returns false if
    /// the tree cannot be repaired.
    fn recover(&mut self, fault: &Fault) -> bool {
        let path = fault.path();
        match &fault.cause {
            Cause::UnknownName { name, known } => self.remove_unknown(&path, name, known),
            Cause::Missing(name) => {
                let missing = path.join(*name);
                let owner = match path.0.last() {
                    Some(Step::Name(owner)) => owner,
                    _ => "",
                };
                let may_be_consequence = self.is_faulty(&missing) || self.source.may_define(owner);
                if !may_be_consequence {
                    self.report(&path, &missing, format!("{name:?} is missing"), "");
                }
                self.replace(&missing, &[])
            }
            Cause::UnknownVariant { found, known } => {
                if !self.is_faulty(&path) {
                    let near = did_you_mean(found, known.iter().copied());
                    let message = format!("{found:?} is not one of {}", known.join(", "));
                    self.report(&path, &path, message, &near);
                }
                self.replace(&path, known)
            }
            Cause::Form { expected, found } => {
                if !self.is_faulty(&path) {
                    let message = format!("expected {expected}, found {found}");
                    self.report(&path, &path, message, "");
                }
                self.replace(&path, &[])
            }
            Cause::Other(message) => {
                if !self.is_faulty(&path) {
                    self.report(&path, &path, message.clone(), "");
                }
                self.replace(&path, &[])
            }
        }
    }

    fn is_faulty(&self, path: &Path) -> bool {
        self.faulty.iter().any(|faulty| faulty.contains(path))
    }

    fn report(&mut self, location: &Path, path: &Path, message: String, hint: &str) {
        let location = self.source.location_of(location);
        self.findings
            .push(Finding::new(&location, path, message).with_hint(hint));
    }

    /// Removes an unknown member. The most similar known name is marked as faulty, so that it is
    /// not also reported as missing.
    fn remove_unknown(&mut self, path: &Path, name: &str, known: &[&str]) -> bool {
        let location = self.tree.name_location(path, name).unwrap_or_default();
        let hint = match nearest(name, known.iter().copied()) {
            Some(near) => {
                self.faulty.push(path.join(near));
                format!("did you mean {near:?}?")
            }
            None => format!("known names: {}", known.join(", ")),
        };
        self.findings
            .push(Finding::new(&location, &path.join(name), "unknown name").with_hint(hint));
        let Some(Content::Object(members)) = self.tree.get_mut(path).map(|node| &mut node.content)
        else {
            return false;
        };
        members.remove(name).is_some()
    }

    /// Sets the value at a path to the next placeholder; returns false once all were tried.
    fn replace(&mut self, path: &Path, variants: &[&str]) -> bool {
        let attempt = self.attempts.entry(path.clone()).or_default();
        let content = match (variants.first(), PLACEHOLDER_TEXTS.get(*attempt)) {
            // An enum rejected the text: the first of its variants is the last placeholder to try.
            (Some(variant), _) if *attempt <= PLACEHOLDER_TEXTS.len() => {
                *attempt = LAST_PLACEHOLDER;
                Content::Text((*variant).to_owned())
            }
            (_, Some(text)) => Content::Text((*text).to_owned()),
            (_, None) => match *attempt - PLACEHOLDER_TEXTS.len() {
                0 => Content::Number(Number::from(1)),
                1 => Content::Boolean(false),
                2 => Content::List(Vec::new()),
                3 => Content::Object(std::collections::BTreeMap::new()),
                _ => return false,
            },
        };
        *attempt += 1;
        if !self.is_faulty(path) {
            self.faulty.push(path.clone());
        }
        if let Some(node) = self.tree.get_mut(path) {
            node.content = content;
            return true;
        }
        let Some((Step::Name(name), steps)) = path.0.split_last() else {
            return false;
        };
        let owner = self.tree.get_mut(&Path(steps.to_vec()));
        let Some(Content::Object(members)) = owner.map(|node| &mut node.content) else {
            return false;
        };
        let location = Location::default();
        let member = Member {
            name: location.clone(),
            value: Node { location, content },
        };
        members.insert(name.clone(), member);
        true
    }
}
