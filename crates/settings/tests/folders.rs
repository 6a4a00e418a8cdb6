//! Settings folders: each invalid folder must give exactly the findings in its `expected.txt`.

use std::path::{Path, PathBuf};

use berylknot_settings::{Fleet, Source};
use serde_json::json;
use yare::parameterized;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(name)
}

/// Guards against errors that are missed, reported at the wrong location, or reported although they
/// only follow from other errors. `BLESS=1` rewrites `expected.txt`, for review in the diff.
#[parameterized(
    syntax = { "syntax" },
    unknown_names = { "unknown_names" },
    types = { "types" },
    missing = { "missing" },
    duplicate_names = { "duplicate_names" },
    dangling = { "dangling" },
    rates = { "rates" },
    floor = { "floor" },
    pool = { "pool" },
    routes = { "routes" },
    endpoints = { "endpoints" },
    models = { "models" },
    hashes = { "hashes" },
    last_set = { "last_set" },
    follow_up = { "follow_up" },
    encoding = { "encoding" },
    no_object = { "no_object" },
)]
fn findings_match_expected_file(name: &str) {
    let folder = folder("invalid").join(name);
    let error = Fleet::read_folder(&folder).unwrap_err();
    let prefix = format!("{}/", folder.display());
    let found = format!("{error}\n").replace(&prefix, "");
    let path = folder.join("expected.txt");
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(&path, &found).unwrap();
    }
    assert_eq!(found, std::fs::read_to_string(path).unwrap());
}

#[parameterized(
    layers = { "tests/valid/layers", 1 },
    empty_objects = { "tests/valid/empty_objects", 0 },
    registry = { "../../sample_configs/registry", 5 },
    atelier = { "../../sample_configs/atelier", 5 },
)]
fn valid_folder_is_accepted(name: &str, customers: usize) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    let source = Source::read_folder(&folder);
    let fleet = Fleet::from_source(&source).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(fleet.customers().len(), customers);
    // Hosts must accept the published text.
    assert!(Fleet::from_json(&source.to_text()).is_ok());
}

#[test]
fn files_are_merged_in_name_order() {
    let value = Source::read_folder(&folder("valid/layers")).to_value();
    assert_eq!(
        value["customers"],
        json!({ "acme": { "rate": 100, "burst": 1000, "weight": 3 } })
    );
    assert_eq!(
        value["routes"],
        json!({ "desk": { "endpoints": ["s2"], "timeout_ms": 900 } })
    );
    assert_eq!(
        value["endpoints"]["s2"],
        json!({ "kind": "service", "address": "[fd00::1]:80", "data_centre": "b", "leaving": true })
    );
    assert_eq!(value["endpoints"].get("s1"), None);
}

/// Guards against a published document that exceeds a log entry, and against unbounded memory use.
#[test]
fn document_over_4_mib_is_rejected() {
    let text = format!("{{ \"customers\": {{}} }}{}", " ".repeat(5 << 20));
    let blanks = Fleet::from_json(&text);
    assert!(
        blanks.is_ok(),
        "blanks must not count towards the limit: {blanks:?}"
    );
    let names = (0..80_000).map(|index| format!("\"{index:0>50}\": null"));
    let text = format!(
        "{{ \"x\": [{{ {} }}] }}",
        names.collect::<Vec<_>>().join(", ")
    );
    let error = Fleet::from_json(&text).unwrap_err();
    assert!(error.to_string().contains("more than 4 MiB"));
}

/// Guards against a missing folder that reads as an empty document.
#[test]
fn missing_folder_is_reported() {
    let error = Fleet::read_folder(&folder("valid/nowhere")).unwrap_err();
    assert_eq!(error.findings().len(), 1);
    assert!(error.to_string().contains("folder cannot be read"));
}
