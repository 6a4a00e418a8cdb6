//! Places of values in files, and paths of values in documents.

use std::cell::Cell;
use std::fmt;
use std::sync::Arc;

/// Place of a value in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    /// File name as the operator gave it; empty for a text without a file.
    pub(crate) file: Arc<str>,
    /// Line, counted from 1; 0 when unknown.
    pub(crate) line: usize,
    /// Column in characters, counted from 1; 0 when unknown.
    pub(crate) column: usize,
}

impl Place {
    /// A file as a whole.
    pub(crate) fn whole(file: &str) -> Self {
        Self {
            file: file.into(),
            line: 0,
            column: 0,
        }
    }
}

/// Turns byte offsets of a text into places.
///
/// Counting goes on from the last place that was asked for: published documents are one long
/// line, and counting each column from its start took 39 s for 4 MiB.
#[derive(Debug)]
pub(crate) struct Lines<'t> {
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

impl<'t> Lines<'t> {
    pub(crate) fn new(file: &str, text: &'t str) -> Self {
        Self {
            file: file.into(),
            text,
            cursor: Cell::new(Cursor::START),
        }
    }

    /// Place of the character at a byte offset.
    pub(crate) fn place(&self, offset: usize) -> Place {
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
        Place {
            file: self.file.clone(),
            line: cursor.line,
            column: cursor.column,
        }
    }
}

/// Step from a value into one of its parts.
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
    /// The path of a part of this value.
    pub(crate) fn join(&self, step: impl Into<Step>) -> Self {
        let mut steps = self.0.clone();
        steps.push(step.into());
        Self(steps)
    }

    /// Whether the path leads to `other` or to a value that contains it.
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
