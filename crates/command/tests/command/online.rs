//! Commands of the built binary against a stand-in for the platform.

use super::platform::{Fault, Platform, sample, stdout};
use yare::parameterized;

/// Versions of a configuration published in the log's first and second entry.
const FIRST: u64 = 1 << 8;
const SECOND: u64 = 2 << 8;

/// Guards against a wrong version or difference on the way from a first publish to a change, and
/// against a repeated publish that appends again.
#[test]
fn publish_diff_and_show_agree() {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    let path = folder.to_str().unwrap();
    let host = format!("{}/host-1", platform.address);
    let (code, published) = platform.json(&["publish", path, "--coordinator", &host]);
    assert_eq!(
        (code, &published["version"]),
        (0, &FIRST.into()),
        "{published}"
    );
    assert_eq!(published["hosts"][0]["version"], FIRST);

    std::fs::write(
        folder.join("70-new.json"),
        "{ \"quota\": { \"planned_hosts\": 8 } }",
    )
    .unwrap();
    let (code, diff) = platform.json(&["diff", path]);
    assert_eq!((code, &diff["version"]), (0, &FIRST.into()));
    assert_eq!(diff["changes"][0]["path"], "quota.planned_hosts");
    assert_eq!(diff["changes"].as_array().unwrap().len(), 1);

    let (code, published) = platform.json(&["publish", path, "--base", "256"]);
    assert_eq!((code, &published["version"]), (0, &SECOND.into()));
    let (code, again) = platform.json(&["publish", path, "--base", "256"]);
    assert_eq!((code, &again["outcome"]), (0, &"unchanged".into()));
    assert_eq!(platform.appends(), 2);
    let (code, shown) = platform.json(&["show"]);
    assert_eq!((code, &shown["quota"]["planned_hosts"]), (0, &8.into()));
}

/// Guards against a publish that overwrites another operator's: without a base version, with a
/// stale one, or after a lost race.
#[parameterized(
    no_base = { &[], Fault::None, 1 },
    stale_base = { &["--base", "7"], Fault::None, 1 },
    race_on_exact_base = { &["--base", "256"], Fault::RacedOnce, 3 },
    race_on_current_base = { &["--base", "current"], Fault::RacedOnce, 3 },
)]
fn conflicting_publish_is_rejected(base: &[&str], fault: Fault, entries: usize) {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    let path = folder.to_str().unwrap();
    assert_eq!(platform.json(&["publish", path]).0, 0);
    std::fs::write(
        folder.join("70-new.json"),
        "{ \"quota\": { \"planned_hosts\": 8 } }",
    )
    .unwrap();
    platform.inject(fault);
    let (code, report) = platform.json(&[&["publish", path], base].concat());
    assert_eq!(
        (code, &report["outcome"]),
        (3, &"conflict".into()),
        "{report}"
    );
    assert_eq!(platform.entries(), entries);
    let shown = platform.json(&["show"]).1;
    assert_ne!(
        shown["quota"]["planned_hosts"], 8,
        "the losing publish must not be in force"
    );
}

/// Guards against reporting an outcome that the log does not confirm, and against more than one
/// retry of the append.
#[parameterized(
    answer_lost = { Fault::AnswerLost, 0, "accepted", 1, 1 },
    append_lost_once = { Fault::AppendLostOnce, 0, "accepted", 2, 1 },
    append_lost = { Fault::AppendLost, 4, "unknown", 2, 0 },
    refused = { Fault::Refused, 4, "refused", 1, 0 },
)]
fn publish_outcome_follows_the_log(
    fault: Fault,
    code: i32,
    outcome: &str,
    appends: usize,
    entries: usize,
) {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    platform.inject(fault);
    let (found, report) = platform.json(&["publish", folder.to_str().unwrap()]);
    assert_eq!(
        (found, &report["outcome"]),
        (code, &outcome.into()),
        "{report}"
    );
    assert_eq!((platform.appends(), platform.entries()), (appends, entries));
}

/// Guards against success reported, or a host left out, while a host lacks the new version.
#[test]
fn unconfirmed_hosts_are_listed() {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    let hosts = ["host-1", "late"].map(|host| format!("{}/{host}", platform.address));
    let arguments = ["publish", folder.to_str().unwrap(), "--wait", "0"];
    let coordinators = ["--coordinator", &hosts[0], "--coordinator", &hosts[1]];
    let output = platform.run(&[&arguments[..], &coordinators].concat());
    assert_eq!(output.status.code(), Some(5));
    let text = stdout(&output);
    assert!(text.contains("in force on 1 of 2 hosts"), "{text}");
    assert!(text.contains("late"), "{text}");
    let (code, status) = platform.json(&[&["status"], &coordinators[..]].concat());
    assert_eq!((code, &status["version"]), (5, &FIRST.into()));
    let (code, status) = platform.json(&[&["status"], &coordinators[..2]].concat());
    assert_eq!((code, &status["hosts"][0]["age_ms"]), (0, &5.into()));
}

/// Guards against settings with findings that reach the hosts.
#[test]
fn settings_with_findings_are_not_published() {
    let platform = Platform::start();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/faulty");
    let (code, report) = platform.json(&["publish", folder]);
    assert_eq!((code, report["findings"].as_array().unwrap().len()), (1, 8));
    assert_eq!(platform.appends(), 0);
}

/// Guards against a drain that the next publish of the folder reverts, or that cannot be undone.
#[test]
fn drain_sets_and_clears_leaving() {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    let path = folder.to_str().unwrap();
    assert_eq!(platform.json(&["drain", "draft-decode-1"]).0, 1);
    assert_eq!(platform.json(&["publish", path]).0, 0);
    let leaving = |platform: &Platform| {
        platform.json(&["show"]).1["endpoints"]["draft-decode-1"]["leaving"].clone()
    };
    let (code, report) = platform.json(&["drain", "draft-decode-1", "--folder", path]);
    assert_eq!((code, &report["outcome"]), (0, &"accepted".into()));
    assert_eq!(leaving(&platform), true);
    // The drain also wrote the change into the folder, so publishing the folder changes nothing.
    assert_eq!(platform.json(&["publish", path]).1["outcome"], "unchanged");
    assert_eq!(
        platform.json(&["drain", "draft-decode-1"]).1["outcome"],
        "unchanged"
    );
    assert_eq!(
        platform
            .json(&["drain", "draft-decode-1", "--undo", "--folder", path])
            .0,
        0
    );
    assert_eq!(leaving(&platform), false);
    assert_eq!(platform.json(&["drain", "draft-decode-9"]).0, 1);
}

/// Guards against a drain that fails, or reverts the other change, when a concurrent publish wins.
#[test]
fn drain_is_retried_after_a_concurrent_publish() {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    assert_eq!(platform.json(&["publish", folder.to_str().unwrap()]).0, 0);
    platform.inject(Fault::RacedOnce);
    let (code, report) = platform.json(&["drain", "draft-decode-1"]);
    assert_eq!((code, platform.entries()), (0, 4), "{report}");
    let shown = platform.json(&["show"]).1;
    assert_eq!(shown["endpoints"]["draft-decode-1"]["leaving"], true);
    assert_eq!(shown["customers"]["rival"]["rate"], 90);
}

/// Guards against a page of the log that breaks off, or that ends short of the tail which it states, and is
/// taken for the whole log.
#[parameterized(
    cut_before_its_last_byte = { Fault::PageCut },
    withheld = { Fault::PageWithheld },
)]
fn part_of_the_log_is_not_mistaken_for_the_whole(fault: Fault) {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    let path = folder.to_str().unwrap();
    assert_eq!(platform.json(&["publish", path]).0, 0);
    platform.inject(fault);
    for arguments in [
        &["show"][..],
        &["publish", path],
        &["drain", "draft-decode-1"],
    ] {
        let (code, report) = platform.json(arguments);
        assert_eq!(code, 4, "{arguments:?}: {report}");
    }
    assert_eq!(platform.appends(), 1);
}

/// Guards against publishing on a log whose first entries have expired as if it were empty.
#[test]
fn expired_history_is_not_mistaken_for_an_empty_log() {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    let path = folder.to_str().unwrap();
    assert_eq!(platform.json(&["publish", path]).0, 0);
    platform.expire_before(2);
    for arguments in [
        &["publish", path][..],
        &["publish", path, "--base", "current"],
    ] {
        let (code, report) = platform.json(arguments);
        assert_eq!(code, 4, "{report}");
        assert!(
            report["error"]
                .as_str()
                .unwrap()
                .contains("begins at offset 2")
        );
    }
    assert_eq!(platform.json(&["drain", "draft-decode-1"]).0, 4);
    assert_eq!(platform.appends(), 1);
}

/// Guards against a log that cannot be read because a page of long entries exceeds the limit on an
/// answer, or because entries cannot be decoded.
#[test]
fn long_and_foreign_entries_are_skipped() {
    let platform = Platform::start();
    let (_guard, folder) = sample();
    platform.store_foreign(3, 12 << 20);
    let (code, published) = platform.json(&["publish", folder.to_str().unwrap()]);
    assert_eq!(
        (code, &published["version"]),
        (0, &(4 << 8).into()),
        "{published}"
    );
    let (code, status) = platform.json(&["status"]);
    assert_eq!((code, &status["unknown_entries"]), (0, &3.into()));
}
