//! Settings documents with source locations, from one text, one file or the merged files of a
//! folder.

use std::path::{Path as FilePath, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::node::Node;
use crate::place::{Location, Path};
use crate::{Error, Finding, Result, collect, merge, syntax};

/// Maximum length of a merged document as compact JSON, so that a published document fits one log
/// entry. It also limits each file before it is parsed.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Maximum growth per byte when a text is serialized as JSON: a control character in a string
/// becomes a 6-byte escape.
const MAX_ESCAPE_BYTES: usize = 6;

/// A document with the locations of its values and the errors found while it was read.
#[derive(Clone, Debug)]
pub struct Source {
    pub(crate) root: Node,
    findings: Vec<Finding>,
    unread: Vec<Unread>,
    /// Total length of all texts that were read.
    bytes: usize,
}

/// A file that was left out of the document because of an error.
#[derive(Clone, Debug)]
enum Unread {
    /// The file was read, but its text is not valid JSON or not UTF-8. Holds the text.
    Text(String),
    /// The file could not be read or is too long, so its content is unknown.
    Unknown,
}

impl Source {
    /// Parses a text; findings refer to it as `file`, which may be empty.
    #[must_use]
    pub fn from_text(file: &str, text: &str) -> Self {
        let mut source = Self::empty(Location::whole(file));
        source.add(file, text);
        source.check_size(file);
        source
    }

    /// Reads and parses one file.
    #[must_use]
    pub fn read_file(path: &FilePath) -> Self {
        let mut source = Self::empty(Location::whole(&path.display().to_string()));
        source.add_file(path);
        source
    }

    /// Reads all `.json` and `.jsonc` files of a folder and merges them in file name order. Hidden
    /// files, whose names begin with a dot, are skipped.
    #[must_use]
    pub fn read_folder(folder: &FilePath) -> Self {
        let name = folder.display().to_string();
        let mut source = Self::empty(Location::whole(&name));
        match settings_files(folder) {
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

    /// Converts the merged document to plain JSON, without locations.
    #[must_use]
    pub fn to_value(&self) -> Value {
        self.root.to_value()
    }

    /// Serializes the merged document as it is published: compact JSON with sorted names.
    #[must_use]
    pub fn to_text(&self) -> String {
        self.to_value().to_string()
    }

    /// Errors found while reading: unreadable files, invalid syntax, duplicate names, excess
    /// length.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Deserializes the document into a type.
    ///
    /// # Errors
    /// Fails with all errors found while reading and all type errors.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T> {
        let mut outcome = collect::read(self);
        outcome.findings.extend_from_slice(&self.findings);
        match outcome.value {
            Some(value) if outcome.findings.is_empty() => Ok(value),
            _ => Err(Error::new(outcome.findings)),
        }
    }

    /// Whether a file that could not be read or parsed may define a name. If so, the name must not
    /// be reported as missing.
    pub(crate) fn may_define(&self, name: &str) -> bool {
        let quoted = Value::from(name).to_string();
        self.unread.iter().any(|unread| match unread {
            Unread::Text(text) => name.is_empty() || text.contains(&quoted),
            Unread::Unknown => true,
        })
    }

    /// Location to report for a path; see [`Node::location_of`].
    pub(crate) fn location_of(&self, path: &Path) -> Location {
        self.root.location_of(path)
    }

    fn empty(location: Location) -> Self {
        Self {
            root: Node::empty(location),
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
                let location = crate::place::Locator::new(&name, &text).location(valid);
                self.unread.push(Unread::Text(text));
                self.findings.push(
                    Finding::new(&location, &Path::default(), "text is not UTF-8")
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
        let finding = Finding::new(&Location::whole(file), &Path::default(), message);
        self.findings.push(finding);
    }
}

/// Lists the settings files of a folder, sorted by name.
fn settings_files(folder: &FilePath) -> std::io::Result<Vec<PathBuf>> {
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
