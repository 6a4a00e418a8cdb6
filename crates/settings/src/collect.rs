//! Collects all faults of a document's form, although deserialization stops at the first one.
//!
//! A faulty value is reported, replaced by a placeholder, and the document is read again.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde_json::Number;

use crate::near::{did_you_mean, nearest};
use crate::node::{Content, Member, Node};
use crate::place::{Path, Place, Step};
use crate::reader::{Cause, Fault, Reader};
use crate::{Finding, Source};

/// Most faults of form reported in one run; each costs another reading of the document.
const MAX_FAULTS: usize = 200;

/// Texts that stand in for faulty values; types of the standard library read one of them.
const PLACEHOLDER_TEXTS: [&str; 3] = ["", "127.0.0.1:1", "127.0.0.1"];

/// Number of the last placeholder: after the texts a number, a truth value, a list, an object.
const LAST_ATTEMPT: usize = PLACEHOLDER_TEXTS.len() + 3;

/// Most readings of a document; one faulty value needs up to eight.
const MAX_READINGS: usize = 8 * MAX_FAULTS;

/// A document read into a type, with the faults of its form.
#[derive(Debug)]
pub(crate) struct Form<T> {
    /// The document, with placeholders for faulty values; `None` when even that was impossible.
    pub(crate) value: Option<T>,
    /// Paths of values that are not as written.
    pub(crate) faulty: Vec<Path>,
    /// The faults.
    pub(crate) findings: Vec<Finding>,
}

/// Reads a document into a type.
pub(crate) fn read<T: DeserializeOwned>(source: &Source) -> Form<T> {
    // Documents in force have no faults, and every host reads them: no copy is made for them.
    if let Ok(value) = T::deserialize(Reader(&source.root)) {
        return Form {
            value: Some(value),
            faulty: Vec::new(),
            findings: Vec::new(),
        };
    }
    let mut repair = Repair {
        source,
        tree: source.root.clone(),
        attempts: HashMap::new(),
        faulty: Vec::new(),
        findings: Vec::new(),
    };
    let mut value = None;
    for _ in 0..MAX_READINGS {
        match T::deserialize(Reader(&repair.tree)) {
            Ok(read) => {
                value = Some(read);
                break;
            }
            Err(fault) => {
                if repair.findings.len() == MAX_FAULTS || !repair.mend(&fault) {
                    break;
                }
            }
        }
    }
    Form {
        value,
        faulty: repair.faulty,
        findings: repair.findings,
    }
}

struct Repair<'s> {
    source: &'s Source,
    tree: Node,
    /// Number of placeholders that were tried at a path.
    attempts: HashMap<Path, usize>,
    faulty: Vec<Path>,
    findings: Vec<Finding>,
}

impl Repair<'_> {
    /// Reports a fault and changes the tree so that it does not occur again.
    fn mend(&mut self, fault: &Fault) -> bool {
        let path = fault.path();
        match &fault.cause {
            Cause::UnknownName { name, known } => self.remove(&path, name, known),
            Cause::Missing(name) => {
                let missing = path.join(*name);
                let owner = match path.0.last() {
                    Some(Step::Name(owner)) => owner,
                    _ => "",
                };
                let excused = self.is_faulty(&missing) || self.source.may_define(owner);
                if !excused {
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

    fn report(&mut self, place: &Path, path: &Path, message: String, hint: &str) {
        let place = self.source.place_of(place);
        self.findings
            .push(Finding::new(&place, path, message).with_hint(hint));
    }

    /// Removes an unknown member. The name that was probably meant counts as faulty, so that
    /// nothing is reported about its absence.
    fn remove(&mut self, path: &Path, name: &str, known: &[&str]) -> bool {
        let place = self.tree.place_of_name(path, name).unwrap_or_default();
        let hint = match nearest(name, known.iter().copied()) {
            Some(near) => {
                self.faulty.push(path.join(near));
                format!("did you mean {near:?}?")
            }
            None => format!("known names: {}", known.join(", ")),
        };
        self.findings
            .push(Finding::new(&place, &path.join(name), "unknown name").with_hint(hint));
        let Some(Content::Object(members)) = self.tree.get_mut(path).map(|node| &mut node.content)
        else {
            return false;
        };
        members.remove(name).is_some()
    }

    /// Puts the next placeholder at a path; false when all were tried.
    fn replace(&mut self, path: &Path, variants: &[&str]) -> bool {
        let attempt = self.attempts.entry(path.clone()).or_default();
        let content = match (variants.first(), PLACEHOLDER_TEXTS.get(*attempt)) {
            // The type asked for one of its variants when the first text was tried.
            (Some(variant), _) if *attempt <= PLACEHOLDER_TEXTS.len() => {
                *attempt = LAST_ATTEMPT;
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
        let place = Place::default();
        let member = Member {
            name: place.clone(),
            value: Node { place, content },
        };
        members.insert(name.clone(), member);
        true
    }
}
