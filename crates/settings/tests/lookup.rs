//! Lookups in validated settings (keys, operations, seats), and settings files of other types.
#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use berylknot_settings::document;
use berylknot_settings::fleet::{Kind, Quota};
use berylknot_settings::key::{Hash, Pepper};
use berylknot_settings::{Fleet, schema};
use serde::Deserialize;
use serde_json::json;
use yare::parameterized;

fn fleet_with_keys(count: usize, pepper: &Pepper) -> Fleet {
    let mut keys = serde_json::Map::new();
    for index in 0..count {
        let hash = Hash::of(&format!("secret-{index}"), pepper).to_hex();
        let key = json!({ "customer": "acme", "hash": hash, "withdrawn": index % 3 == 0 });
        keys.insert(format!("k{index}"), key);
    }
    let customers = json!({ "acme": { "rate": 100, "burst": 1000 } });
    Fleet::from_json(&json!({ "customers": customers, "keys": keys }).to_string()).unwrap()
}

/// Guards against an index that misses stored keys, or accepts unknown keys or another pepper.
#[parameterized(none = { 0 }, one = { 1 }, many = { 500 })]
fn key_is_found_only_under_its_pepper(count: usize) {
    let pepper = Pepper::new(*b"pepper");
    let fleet = fleet_with_keys(count, &pepper);
    for index in 0..count {
        let found = fleet.find_key(&format!("secret-{index}"), &pepper).unwrap();
        assert_eq!(
            (&*found.id, found.withdrawn),
            (&*format!("k{index}"), index % 3 == 0)
        );
        assert_eq!(fleet.key(&found.id).unwrap().hash, found.hash);
        let other = Pepper::new(*b"other");
        assert!(fleet.find_key(&format!("secret-{index}"), &other).is_none());
    }
    assert!(fleet.find_key("secret", &pepper).is_none());
    assert!(fleet.find_key("", &pepper).is_none());
}

/// Guards against the retry of a non-idempotent call whose path merely starts with the path of an
/// idempotent operation.
#[parameterized(
    listed = { "POST", "/stock", true },
    below = { "POST", "/stock/7", true },
    query = { "POST", "/stock?size=7", true },
    lower_case = { "post", "/stock", true },
    longer_name = { "POST", "/stock-orders", false },
    first_match = { "GET", "/stock/claim", false },
    get = { "GET", "/stock", true },
    put = { "PUT", "/stock", false },
    trailing_slash = { "DELETE", "/drafts/9", true },
    without_trailing_slash = { "DELETE", "/drafts", false },
)]
fn idempotency_of_operations(method: &str, path: &str, idempotent: bool) {
    let fleet = Fleet::from_json(
        r#"{
        "endpoints": { "s": { "kind": "service", "address": "10.0.0.1:1", "data_centre": "a" } },
        "routes": { "desk": { "endpoints": ["s"], "operations": [
            { "method": "GET", "path": "/stock/claim", "idempotent": false },
            { "method": "POST", "path": "/stock", "idempotent": true },
            { "method": "DELETE", "path": "/drafts/", "idempotent": true }
        ] } }
    }"#,
    )
    .unwrap();
    let route = fleet.route("desk").unwrap();
    assert_eq!(route.is_idempotent(method, path), idempotent);
}

/// Guards against a wrong number of seats: 1.25 per planned host, and at least one spare.
#[parameterized(one = { 1, 2 }, seven = { 7, 9 }, many = { 360, 450 })]
fn seats_follow_planned_hosts(planned_hosts: u32, seats: u32) {
    let quota = Quota {
        planned_hosts,
        ..Quota::default()
    };
    assert_eq!(quota.seats(), seats);
}

#[test]
fn sample_registry_has_expected_contents() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../sample_configs/registry");
    let fleet = Fleet::read_folder(folder.as_ref()).unwrap();
    let prefills = fleet.engines("dossier-reader", Kind::Prefill).count();
    assert_eq!(
        prefills + fleet.engines("dossier-reader", Kind::Decode).count(),
        11
    );
    assert_eq!(fleet.route("names").unwrap().endpoints.len(), 3);
    assert!(
        !fleet
            .route("names")
            .unwrap()
            .is_idempotent("POST", "/reservations")
    );
    let pepper = Pepper::new(*b"sample-pepper-registry");
    let key = fleet
        .find_key("sample-key-pampeanos-2025b", &pepper)
        .unwrap();
    assert!(key.withdrawn);
}

/// Guards against a committed schema that does not match the settings types.
#[test]
fn committed_schema_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../schemas/settings.json");
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(path, schema::text()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), schema::text());
}

/// Guards against a setting without documentation.
#[test]
fn every_setting_is_documented() {
    let text = include_str!("../../../docs/CONFIG.md");
    let schema: serde_json::Value = serde_json::from_str(&schema::text()).unwrap();
    let definitions = schema["definitions"].as_object().unwrap().values();
    for definition in definitions.chain([&schema]) {
        let Some(properties) = definition["properties"].as_object() else {
            continue;
        };
        for name in properties.keys() {
            assert!(
                text.contains(&format!("`{name}`")),
                "{name} is not in docs/CONFIG.md"
            );
        }
    }
}

#[derive(Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Daemon {
    listen: std::net::SocketAddr,
    workers: Option<u16>,
    mode: Mode,
}

#[derive(Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Plain,
    Limited { bytes: u32 },
}

fn read_daemon(text: &str) -> Result<Daemon, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("daemon.jsonc");
    std::fs::write(&path, text).unwrap();
    let prefix = format!("{}:", path.display());
    document::read_file(&path).map_err(|error| error.to_string().replace(&prefix, ""))
}

#[test]
fn daemon_settings_are_read() {
    let daemon = read_daemon(
        "{ \"listen\": \"127.0.0.1:80\", \"mode\": { \"limited\": { \"bytes\": 7 } } } // end",
    );
    let expected = Daemon {
        listen: "127.0.0.1:80".parse().unwrap(),
        workers: None,
        mode: Mode::Limited { bytes: 7 },
    };
    assert_eq!(daemon.unwrap(), expected);
    assert_eq!(
        read_daemon("{\"listen\": \"[::1]:8\", \"mode\": \"plain\"}")
            .unwrap()
            .mode,
        Mode::Plain
    );
}

/// Guards against a report that stops at the first error, which costs the operator one daemon start
/// per error.
#[test]
fn all_errors_of_daemon_settings_are_reported() {
    let text = "{\n\"listen\": \"here\",\n\"workers\": 70000,\n\"mode\": \"plan\",\n\"moode\": 1 }";
    let findings = read_daemon(text).unwrap_err();
    let lines = findings.lines().collect::<Vec<_>>();
    assert_eq!(lines.len(), 4, "{findings}");
    assert!(lines[0].starts_with("2:11: listen: invalid socket address"));
    assert!(lines[1].starts_with("3:12: workers: expected a whole number from 0 to 65535"));
    assert!(lines[2].contains("4:9: mode: \"plan\" is not one of plain, limited"));
    assert!(lines[3].contains("5:1: moode: unknown name (did you mean \"mode\"?)"));
}
