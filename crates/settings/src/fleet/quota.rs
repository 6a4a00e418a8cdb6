//! Checks of the division of rate limits among hosts.

use super::check;
use crate::issue::Issue;
use crate::place::path_to;
use crate::raw::Quota;

pub(super) fn check(quota: &Quota, issues: &mut Vec<Issue>) {
    let path = path_to!["quota"];
    if quota.floor_percent == 0 {
        issues.push(
            Issue::new(path.join("floor_percent"), "floor share is nothing")
                .hint("without floors, a log outage of 15 s stops all admissions"),
        );
    } else {
        let percents = 1..=Quota::MAX_FLOOR_PERCENT;
        check::bounds(
            path.join("floor_percent"),
            quota.floor_percent,
            percents,
            "%",
            issues,
        );
    }
    let hosts = 1..=Quota::MAX_PLANNED_HOSTS;
    check::bounds(
        path.join("planned_hosts"),
        quota.planned_hosts,
        hosts,
        "hosts",
        issues,
    );
}
