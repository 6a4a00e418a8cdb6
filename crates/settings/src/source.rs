//! Settings as they were written: one text, one file or the merged files of a folder.

use std::path::{Path as FilePath, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::node::Node;
use crate::place::{Path, Place};
use crate::{Error, Finding, Result, collect, merge, syntax};

/// Longest document in bytes of JSON text, so that a publish fits one log entry. It bounds each
/// file, too, before it is parsed.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Most bytes of JSON text that one byte of a file becomes: a control character in a string.
const MAX_ESCAPE_BYTES: usize = 6;

/// A document with the places of its values and the faults found while it was read.
#[derive(Clone, Debug)]
pub struct Source {
    pub(crate) root: Node,
    findings: Vec<Finding>,
    unread: Vec<Unread>,
    /// Length of all texts that were read.
    bytes: usize,
}

/// A file whose content is not part of the document.
#[derive(Clone, Debug)]
enum Unread {
    /// The file has a syntax fault.
    Text(String),
    /// The file could not be read.
    Unknown,
}

impl Source {
    /// Reads a text; `file` names it in findings and may be empty.
    #[must_use]
    pub fn from_text(file: &str, text: &str) -> Self {
        let mut source = Self::empty(Place::whole(file));
        source.add(file, text);
        source.check_size(file);
        source
    }

    /// Reads one file.
    #[must_use]
    pub fn read_file(path: &FilePath) -> Self {
        let mut source = Self::empty(Place::whole(&path.display().to_string()));
        source.add_file(path);
        source
    }

    /// Reads all `.json` and `.jsonc` files of a folder and merges them in the order of their
    /// names. Files whose names begin with a dot are left out.
    #[must_use]
    pub fn read_folder(folder: &FilePath) -> Self {
        let name = folder.display().to_string();
        let mut source = Self::empty(Place::whole(&name));
        match files(folder) {
            Ok(files) if files.is_empty() => source.report(&name, "no .json or .jsonc file here"),
            Ok(files) => {
                for file in files {
                    source.add_file(&file);
                }
            }
            Err(error) => source.report(&name, &format!("folder cannot be read: {error}")),
        }
        source.check_size(&name);
        source
    }

    /// The merged document.
    #[must_use]
    pub fn to_value(&self) -> Value {
        self.root.to_value()
    }

    /// The merged document as compact JSON text with sorted names, the form that is published.
    #[must_use]
    pub fn to_text(&self) -> String {
        self.to_value().to_string()
    }

    /// Faults found while the text was read: unreadable files, syntax, duplicate names, size.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Reads the document into a type.
    ///
    /// # Errors
    /// Fails with all faults of the text and of its form.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T> {
        let mut form = collect::read(self);
        form.findings.extend_from_slice(&self.findings);
        match form.value {
            Some(value) if form.findings.is_empty() => Ok(value),
            _ => Err(Error::new(form.findings)),
        }
    }

    /// Whether a file that could not be read may define a name. Faults that consist in the
    /// absence of the name are not reported then.
    pub(crate) fn may_define(&self, name: &str) -> bool {
        let quoted = Value::from(name).to_string();
        self.unread.iter().any(|unread| match unread {
            Unread::Text(text) => name.is_empty() || text.contains(&quoted),
            Unread::Unknown => true,
        })
    }

    /// Place of a path; see [`Node::place_of`].
    pub(crate) fn place_of(&self, path: &Path) -> Place {
        self.root.place_of(path)
    }

    fn empty(place: Place) -> Self {
        Self {
            root: Node::empty(place),
            findings: Vec::new(),
            unread: Vec::new(),
            bytes: 0,
        }
    }

    fn add_file(&mut self, path: &FilePath) {
        let name = path.display().to_string();
        let length = std::fs::metadata(path).map(|metadata| metadata.len());
        if length.is_ok_and(|length| length > MAX_BYTES as u64) {
            self.unread.push(Unread::Unknown);
            self.report(&name, "file is longer than 4 MiB");
            return;
        }
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) => {
                self.unread.push(Unread::Unknown);
                self.report(&name, &format!("file cannot be read: {error}"));
                return;
            }
        };
        match String::from_utf8(bytes) {
            Ok(text) => self.add(&name, &text),
            Err(error) => {
                let valid = error.utf8_error().valid_up_to();
                let text = String::from_utf8_lossy(error.as_bytes()).into_owned();
                let place = crate::place::Lines::new(&name, &text).place(valid);
                self.unread.push(Unread::Text(text));
                self.findings.push(
                    Finding::new(&place, &Path::default(), "text is not UTF-8")
                        .with_hint("the file was not read"),
                );
            }
        }
    }

    fn add(&mut self, file: &str, text: &str) {
        self.bytes += text.len();
        let (node, findings) = syntax::parse(file, text);
        self.findings.extend(findings);
        match node {
            Some(node) => merge::merge(&mut self.root, node),
            None => self.unread.push(Unread::Text(text.to_owned())),
        }
    }

    fn check_size(&mut self, name: &str) {
        if self.bytes.saturating_mul(MAX_ESCAPE_BYTES) <= MAX_BYTES {
            return;
        }
        let length = self.to_text().len();
        if length > MAX_BYTES {
            self.report(
                name,
                &format!("merged document has {length} bytes, more than 4 MiB"),
            );
        }
    }

    fn report(&mut self, file: &str, message: &str) {
        let finding = Finding::new(&Place::whole(file), &Path::default(), message);
        self.findings.push(finding);
    }
}

/// The settings files of a folder, in the order of their names.
fn files(folder: &FilePath) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let hidden = path
            .file_name()
            .is_none_or(|name| name.as_encoded_bytes().starts_with(b"."));
        let known = path
            .extension()
            .is_some_and(|extension| extension == "json" || extension == "jsonc");
        if hidden || !known || path.is_dir() {
            continue;
        }
        paths.push(path);
    }
    paths.sort();
    Ok(paths)
}
