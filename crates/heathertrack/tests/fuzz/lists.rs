//! Promise 8: a list in force never goes back to an older revision, in whatever order versions
//! arrive.

use crate::harness::{FuzzConfig, check};
use heathertrack::lists::{ListVersions, Revision, Versioned};
use quickcheck::TestResult;

const CONFIG: FuzzConfig = FuzzConfig { length: 60, cases: 1_000 };

/// Checks the list in force after each arrival. Versions are given by revision and whether they are
/// valid; they arrive out of order and more than once.
fn holds(arrivals: Vec<(u8, bool)>) -> TestResult {
    let mut versions = ListVersions::default();
    let mut newest_good = None;
    let mut newest = None;
    for (revision, good) in arrivals {
        let revision = Revision(u64::from(revision) + 1);
        let is_new = Some(revision) > newest;
        let accepted = if good {
            versions.accept_if_newer(Versioned { revision, value: revision })
        } else {
            versions.reject(revision)
        };
        if accepted != is_new {
            return TestResult::error(format!("{revision:?} was accepted: {accepted}"));
        }
        newest = newest.max(Some(revision));
        if good && is_new {
            newest_good = Some(revision);
        }
        let in_force = versions.in_force().map(|versioned| versioned.value);
        if in_force != newest_good || versions.revision() != newest_good.unwrap_or_default() {
            return TestResult::error(format!(
                "{in_force:?} is in force, expected {newest_good:?}"
            ));
        }
    }
    TestResult::passed()
}

#[test]
fn a_list_in_force_never_goes_back() {
    check(CONFIG, holds as fn(Vec<(u8, bool)>) -> TestResult);
}
