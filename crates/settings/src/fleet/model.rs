//! Checks of models: each needs at least one prefill and one decode engine.

use std::collections::BTreeMap;

use super::{Fleet, Kind, check};
use crate::issue::Issue;
use crate::place::path_to;
use crate::raw::Model;

pub(super) fn check(models: &BTreeMap<String, Model>, fleet: &Fleet, issues: &mut Vec<Issue>) {
    for (name, model) in models {
        check::name("models", name, "/:", issues);
        check_numbers(name, model, issues);
        for kind in [Kind::Prefill, Kind::Decode] {
            if fleet.engines(name, kind).next().is_some() {
                continue;
            }
            let message = format!("model has no {} endpoint", kind.as_str());
            issues.push(
                Issue::new(path_to!["models", name.as_str()], message)
                    .requires_subtree(path_to!["endpoints"])
                    .requires_undefined(name),
            );
        }
    }
}

fn check_numbers(name: &str, model: &Model, issues: &mut Vec<Issue>) {
    let path = path_to!["models", name];
    check::bounds(
        path.join("bytes_per_token"),
        model.bytes_per_token,
        1..=Model::MAX_BYTES_PER_TOKEN,
        "bytes",
        issues,
    );
    check::bounds(
        path.join("max_tokens"),
        model.max_tokens,
        1..=Model::MAX_DEFAULT_TOKENS,
        "tokens",
        issues,
    );
    check::bounds(
        path.join("ttft_ms"),
        model.ttft_ms,
        1..=Model::MAX_TTFT_MS,
        "ms",
        issues,
    );
    check::bounds(
        path.join("tpot_ms"),
        model.tpot_ms,
        1..=Model::MAX_TPOT_MS,
        "ms",
        issues,
    );
}
