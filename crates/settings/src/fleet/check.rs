//! Checks shared by several sections.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::issue::Issue;
use crate::near::did_you_mean;
use crate::place::{Path, path_to};

/// Maximum length of a name; names appear in metric labels and paths.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Checks that an entry's name has 1 to [`MAX_NAME_BYTES`] characters: ASCII letters, digits, `.`,
/// `_`, `-` or characters of `extra`.
pub(super) fn name(section: &str, name: &str, extra: &str, issues: &mut Vec<Issue>) {
    let allowed = |character: char| {
        character.is_ascii_alphanumeric() || "._-".contains(character) || extra.contains(character)
    };
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        return;
    }
    let message = format!("name must have 1 to {MAX_NAME_BYTES} letters, digits, or ._-{extra}");
    issues.push(Issue::new(path_to![section, name], message));
}

/// Checks that a number is within inclusive bounds; `unit` may be empty.
pub(super) fn bounds<T: Copy + PartialOrd + Display>(
    path: Path,
    value: T,
    bounds: RangeInclusive<T>,
    unit: &str,
    issues: &mut Vec<Issue>,
) {
    if bounds.contains(&value) {
        return;
    }
    let (start, end) = (bounds.start(), bounds.end());
    let message = format!("{value} is out of range: {start} to {end} {unit}");
    issues.push(Issue::new(path, message.trim_end()));
}

/// Number of issues after which suggestions are omitted. Each suggestion compares a name with a
/// whole section, which would take minutes for a long document with many errors.
const MAX_SUGGESTIONS: usize = 100;

/// Reports a reference to a name that is not defined in `section`; `known` holds the defined names.
pub(super) fn dangling<'k>(
    path: Path,
    (noun, section): (&str, &str),
    name: &str,
    known: impl IntoIterator<Item = &'k str>,
    issues: &mut Vec<Issue>,
) {
    let hint = if issues.len() < MAX_SUGGESTIONS {
        did_you_mean(name, known)
    } else {
        String::new()
    };
    issues.push(
        Issue::new(path, format!("{noun} {name:?} does not exist"))
            .hint(hint)
            .requires(path_to![section, name])
            .requires_undefined(name),
    );
}
