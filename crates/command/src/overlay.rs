//! Overlay file of a settings folder, into which this command writes its own changes.

use std::path::{Path, PathBuf};

use berylknot_settings::{Error, Source, document};
use eyre::WrapErr;
use serde_json::{Map, Value};

/// Name of the overlay file, which sorts after the operators' own files so that its values win.
const NAME: &str = "zz-berylknot.json";

/// Merges a change into the folder's overlay file.
///
/// # Errors
/// Fails when the file cannot be read or written, or when a later file overrides the change.
pub(crate) fn write(folder: &Path, change: &Value) -> eyre::Result<PathBuf> {
    let path = folder.join(NAME);
    let mut overlay = Value::Object(Map::new());
    if path.exists() {
        let source = Source::read_file(&path);
        if !source.findings().is_empty() {
            return Err(Error::new(source.findings().to_vec()).into());
        }
        overlay = source.to_value();
    }
    document::merge(&mut overlay, change.clone());
    // Write and rename, so that a crash does not leave a partial file. The draft's name starts with
    // a dot, so that it is not read as settings.
    let draft = folder.join(format!(".{NAME}.draft"));
    std::fs::write(&draft, format!("{overlay:#}\n"))
        .and_then(|()| std::fs::rename(&draft, &path))
        .wrap_err_with(|| format!("{} cannot be written", path.display()))?;
    let merged = Source::read_folder(folder).to_value();
    let mut changed = merged.clone();
    document::merge(&mut changed, change.clone());
    if changed != merged {
        eyre::bail!(
            "{} was written, but the change has no effect: a file that sorts after it overrides it",
            path.display()
        );
    }
    Ok(path)
}
