//! Spelling suggestions for unknown names.

/// Minimum similarity, from 0 to 1, at which a known name is suggested. Below it, suggestions for
/// short field names are mostly unrelated words.
const MIN_SIMILARITY: f64 = 0.7;

/// The known name most similar to `name`, ignoring case; `None` if none is similar enough.
pub(crate) fn nearest<'k>(name: &str, known: impl IntoIterator<Item = &'k str>) -> Option<&'k str> {
    let name = name.to_lowercase();
    let mut best = None;
    for candidate in known {
        let similarity = strsim::normalized_damerau_levenshtein(&name, &candidate.to_lowercase())
            .max(strsim::jaro_winkler(&name, &candidate.to_lowercase()) - 0.15);
        if similarity >= MIN_SIMILARITY && best.is_none_or(|(top, _)| similarity > top) {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Hint that suggests the most similar known name; empty if none is similar enough.
pub(crate) fn did_you_mean<'k>(name: &str, known: impl IntoIterator<Item = &'k str>) -> String {
    nearest(name, known).map_or_else(String::new, |near| format!("did you mean {near:?}?"))
}
