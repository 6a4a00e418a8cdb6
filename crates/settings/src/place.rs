//! Source locations of values, and their paths within a document.

use std::cell::Cell;
use std::fmt;
use std::sync::Arc;

/// Source location of a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Location {
    /// File name as given by the operator; empty for a text that was not read from a file.
    pub(crate) file: Arc<str>,
    /// Line, counted from 1; 0 when unknown.
    pub(crate) line: usize,
    /// Column in characters, counted from 1; 0 when unknown.
    pub(crate) column: usize,
}

impl Location {
    /// Location of a whole file, without line and column.
    pub(crate) fn whole(file: &str) -> Self {
        Self {
            file: file.into(),
            line: 0,
            column: 0,
        }
    }
}

/// Converts byte offsets of a text to locations.
///
/// Counting resumes at the last requested offset: published documents are one long line, and
/// counting each column from the start of the line took 39 s for 4 MiB.
#[derive(Debug)]
pub(crate) struct Locator<'t> {
    file: Arc<str>,
    text: &'t str,
    cursor: Cell<Cursor>,
}

#[derive(Clone, Copy, Debug)]
struct Cursor {
    offset: usize,
    line: usize,
    column: usize,
}

impl Cursor {
    const START: Self = Self {
        offset: 0,
        line: 1,
        column: 1,
    };
}

impl<'t> Locator<'t> {
    pub(crate) fn new(file: &str, text: &'t str) -> Self {
        Self {
            file: file.into(),
            text,
            cursor: Cell::new(Cursor::START),
        }
    }

    /// Location of the character that contains a byte offset.
    pub(crate) fn location(&self, offset: usize) -> Location {
        let offset = self.text.floor_char_boundary(offset);
        let mut cursor = self.cursor.get();
        if offset < cursor.offset {
            cursor = Cursor::START;
        }
        for character in self.text[cursor.offset..offset].chars() {
            cursor.column += 1;
            if character == '\n' {
                cursor.line += 1;
                cursor.column = 1;
            }
        }
        cursor.offset = offset;
        self.cursor.set(cursor);
        Location {
            file: self.file.clone(),
            line: cursor.line,
            column: cursor.column,
        }
    }
}

/// Step of a path: from an object to a member or from a list to an element.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Step {
    /// Member of an object.
    Name(String),
    /// Element of a list, counted from 0.
    Index(usize),
}

impl From<&str> for Step {
    fn from(name: &str) -> Self {
        Self::Name(name.to_owned())
    }
}

impl From<usize> for Step {
    fn from(index: usize) -> Self {
        Self::Index(index)
    }
}

/// Path of a value from the root of its document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Path(pub(crate) Vec<Step>);

impl Path {
    /// Returns this path extended by one step.
    pub(crate) fn join(&self, step: impl Into<Step>) -> Self {
        let mut steps = self.0.clone();
        steps.push(step.into());
        Self(steps)
    }

    /// Whether this path equals `other` or is an ancestor of it.
    pub(crate) fn contains(&self, other: &Self) -> bool {
        other.0.starts_with(&self.0)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Name(name) if position == 0 => formatter.write_str(name)?,
                Step::Name(name) => write!(formatter, ".{name}")?,
                Step::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Builds a path from names and list indexes.
macro_rules! path_to {
    ($($step:expr),* $(,)?) => {
        $crate::place::Path(vec![$($crate::place::Step::from($step)),*])
    };
}
pub(crate) use path_to;
