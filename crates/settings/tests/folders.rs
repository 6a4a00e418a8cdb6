//! Folders of settings: each faulty one gives exactly the findings in its `expected.txt`.

use std::path::{Path, PathBuf};

use berylknot_settings::{Fleet, Source};
use serde_json::json;
use yare::parameterized;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(name)
}

/// Guards against faults that are not reported, are reported at the wrong place, or follow only
/// from other faults. `BLESS=1` rewrites the expectation, for review in the diff.
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
fn invalid(name: &str) {
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
fn valid(name: &str, customers: usize) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    let source = Source::read_folder(&folder);
    let fleet = Fleet::from_source(&source).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(fleet.customers().len(), customers);
    // What is published must be accepted where it is read.
    assert!(Fleet::from_json(&source.to_text()).is_ok());
}

#[test]
fn layers_are_merged_in_the_order_of_their_names() {
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

/// Guards against a publish that does not fit the log and against unbounded memory.
#[test]
fn documents_over_four_mebibytes_are_refused() {
    let text = format!("{{ \"customers\": {{}} }}{}", " ".repeat(5 << 20));
    let blanks = Fleet::from_json(&text);
    assert!(blanks.is_ok(), "blanks do not count: {blanks:?}");
    let names = (0..80_000).map(|index| format!("\"{index:0>50}\": null"));
    let text = format!(
        "{{ \"x\": [{{ {} }}] }}",
        names.collect::<Vec<_>>().join(", ")
    );
    let error = Fleet::from_json(&text).unwrap_err();
    assert!(error.to_string().contains("more than 4 MiB"));
}

/// The findings are those of section checks; a missing folder is one, too.
#[test]
fn missing_folder_is_a_finding() {
    let error = Fleet::read_folder(&folder("valid/nowhere")).unwrap_err();
    assert_eq!(error.findings().len(), 1);
    assert!(error.to_string().contains("folder cannot be read"));
}
