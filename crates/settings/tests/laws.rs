//! Property tests of the parser, the merge and the checks.

use berylknot_settings::{Fleet, Source, document};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Map, Value, json};

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-c]",
        Just("customers".to_owned()),
        Just("rate".to_owned())
    ]
}

/// Generates values with few distinct names, so that merged documents overlap.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        "[a-z\"\\\\é]{0,3}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            object(inner),
        ]
    })
}

fn object(inner: impl Strategy<Value = Value>) -> impl Strategy<Value = Value> {
    prop::collection::btree_map(name(), inner, 0..4)
        .prop_map(|members| Value::Object(members.into_iter().collect()))
}

/// Generates documents in which a name always has the same type of value.
fn uniform_document() -> impl Strategy<Value = Value> {
    let leaf = (0..9).prop_map(|number| json!({ "number": number }));
    leaf.prop_recursive(3, 16, 4, |inner| {
        let members = prop::collection::btree_map("[a-c]", inner, 0..4);
        (members, prop::option::of(0..9)).prop_map(|(members, number)| {
            let mut object = members.into_iter().collect::<Map<_, _>>();
            if let Some(number) = number {
                object.insert("number".to_owned(), json!(number));
            }
            Value::Object(object)
        })
    })
}

fn document_value() -> impl Strategy<Value = Value> {
    object(value())
}

fn merged(values: &[&Value]) -> Value {
    let mut merged = Value::Object(Map::new());
    for value in values {
        document::merge(&mut merged, (*value).clone());
    }
    merged
}

fn has_null_member(value: &Value) -> bool {
    match value {
        Value::Object(members) => members
            .values()
            .any(|member| member.is_null() || has_null_member(member)),
        _ => false,
    }
}

/// Fixed seed, so that CI results are reproducible.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a syntax error that crashes the daemon instead of being reported.
    #[test]
    fn parser_never_panics_on_json_characters(text in "[\\[\\]{}\":,/*'a0-9.eE+\\-\\\\ \n\u{feff}é\t]{0,60}") {
        let _ = Fleet::from_json(&text);
        let _ = document::parse("any.json", &text);
    }

    /// Guards against a panic on characters outside ASCII.
    #[test]
    fn parser_never_panics_on_arbitrary_text(text in any::<String>()) {
        let _ = Fleet::from_json(&text);
    }

    /// Guards against a panic on valid JSON with wrong values in known sections.
    #[test]
    fn checks_never_panic_on_wrong_values(inner in value(), section in prop::sample::select(vec![
        "customers", "keys", "models", "endpoints", "routes", "quota"
    ])) {
        let text = json!({ section: { "x": inner.clone() }, "quota": inner }).to_string();
        let _ = Fleet::from_json(&text);
    }

    /// Guards against values that change while locations are recorded: the parser must agree with
    /// `serde_json`.
    #[test]
    fn parser_agrees_with_serde_json(value in value(), pretty: bool) {
        let text = if pretty { serde_json::to_string_pretty(&value).unwrap() } else { value.to_string() };
        let parsed = document::parse("", &text).unwrap();
        prop_assert_eq!(parsed, merged(&[&value]));
    }

    #[test]
    fn empty_overlay_changes_nothing(base in document_value()) {
        prop_assert_eq!(merged(&[&base, &json!({})]), merged(&[&base]));
    }

    #[test]
    fn merge_is_idempotent(base in document_value(), overlay in document_value()) {
        prop_assert_eq!(merged(&[&base, &overlay, &overlay]), merged(&[&base, &overlay]));
    }

    /// Without removals and type changes, the merge is associative: files may be merged in groups.
    #[test]
    fn merge_without_removals_is_associative(values in prop::collection::vec(uniform_document(), 3)) {
        let [a, b, c] = [&values[0], &values[1], &values[2]];
        let grouped = merged(&[a, &merged(&[b, c])]);
        prop_assert_eq!(grouped, merged(&[a, b, c]));
    }

    /// Guards against a `null` that remains in the merged document and is read as a value.
    #[test]
    fn null_removes_member_and_is_dropped(base in document_value(), overlay in document_value()) {
        let result = merged(&[&base, &overlay]);
        prop_assert!(!has_null_member(&result));
        for (name, value) in overlay.as_object().unwrap() {
            match value {
                Value::Null => prop_assert_eq!(result.get(name), None),
                Value::Object(_) => prop_assert!(result[name].is_object()),
                scalar_or_list => prop_assert_eq!(&result[name], scalar_or_list),
            }
        }
    }

    /// Guards against a merge with locations that differs from the merge of plain values.
    #[test]
    fn folder_merge_agrees_with_value_merge(values in prop::collection::vec(document_value(), 0..4)) {
        let folder = tempfile::tempdir().unwrap();
        for (index, value) in values.iter().enumerate() {
            std::fs::write(folder.path().join(format!("{index}.json")), value.to_string()).unwrap();
        }
        let expected = merged(&values.iter().collect::<Vec<_>>());
        prop_assert_eq!(Source::read_folder(folder.path()).to_value(), expected);
    }
}

/// Guards against a stack overflow caused by nested brackets, which aborts the process.
#[test]
fn deep_nesting_is_reported() {
    for text in ["[".repeat(1 << 20), "{\"a\":".repeat(1 << 18)] {
        let error = Fleet::from_json(&text).unwrap_err();
        assert!(error.to_string().contains("nested deeper than 32 levels"));
    }
}
