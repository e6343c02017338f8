//! Feeds random bytes and corrupted documents to every parser, which must reject or read them
//! without a panic.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck properties take their arguments by value"
)]

use heathertrack::lists::{Allowances, Plans};
use heathertrack_wire::caller::{Job, Key};
use heathertrack_wire::host_list::HostList;
use heathertrack_wire::list::List;
use heathertrack_wire::seats::Seats;
use heathertrack_wire::store::{RangeResponse, TxnResponse};
use quickcheck::{Gen, QuickCheck};

const JOB: &str = r#"{"class": "stock", "deadline_ms": 2000, "tasks":
    [{"path": "/a", "body": {"x": [1, 2]}, "declared_ms": 5, "cores": 1}]}"#;
const PLANS: &str = r#"{"customers": {"a": {"plan": "p", "token_sha256":
    ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"], "worth": 2}}}"#;
const ALLOWANCES: &str = r#"{"plans": {"p": {"tasks_at_once": 1, "starts_per_second": 1,
    "burst": 1, "tasks_per_job": 1, "task_cores": 1, "task_memory_mb": 1,
    "task_accelerators": 0, "deadline_ms": 1}}}"#;
const SEATS: &str = r#"{"members": [{"host": "e1", "incarnation": 1, "wants": true}],
    "seats": {"0": 0}}"#;
const HOSTS: &str = r#"{"revision": 1, "hosts": [{"name": "u1", "address": "127.0.0.1:1",
    "data_centre": "d", "role": "upstream", "state": "live"}]}"#;
const RANGE: &str = r#"{"header": {"revision": "3"}, "kvs": [{"key": "YQ==", "value": "YQ==",
    "mod_revision": "3"}]}"#;
/// A key under a ticket, with all numbers in canonical spelling.
const KEY: &str = "t1.ee-north-1.e1.00000000000000ff.0.3e8.8c4bf2ef529bad60/1";

/// Checks a property with 3,000 generated inputs of up to 300 bytes.
fn check(property: fn(Vec<u8>, usize, usize) -> bool) {
    let generator = Gen::from_size_and_seed(300, 1);
    QuickCheck::new().rng(generator).tests(3_000).quickcheck(property);
}

/// Returns the document with fewer than 8 bytes replaced by at most 12 random ones.
fn corrupt(document: &str, noise: &[u8], at: usize, length: usize) -> String {
    let mut bytes = document.as_bytes().to_vec();
    let start = at % (bytes.len() + 1);
    let end = (start + length % 8).min(bytes.len());
    bytes.splice(start..end, noise.iter().copied().take(12));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Parses the text with every parser and ignores the results.
fn parse_with_all(text: &str) {
    let _ = Job::parse(text);
    let _ = Plans::parse("plans", text);
    let _ = Allowances::parse("allowances", text);
    let _ = Seats::decode(text.as_bytes());
    let _ = serde_json::from_str::<HostList>(text);
    let _ = serde_json::from_str::<RangeResponse>(text);
    let _ = serde_json::from_str::<TxnResponse>(text);
    let _ = text.parse::<Key>();
}

#[test]
fn random_bytes_cause_no_panic() {
    fn property(noise: Vec<u8>, _: usize, _: usize) -> bool {
        parse_with_all(&String::from_utf8_lossy(&noise));
        true
    }
    check(property);
}

#[test]
fn corrupted_documents_cause_no_panic() {
    fn property(noise: Vec<u8>, at: usize, length: usize) -> bool {
        for document in [JOB, PLANS, ALLOWANCES, SEATS, HOSTS, RANGE, KEY] {
            parse_with_all(&corrupt(document, &noise, at, length));
        }
        true
    }
    check(property);
}

#[test]
fn valid_documents_are_accepted() {
    assert!(Job::parse(JOB).is_ok());
    assert!(Plans::parse("plans", PLANS).is_ok());
    assert!(Allowances::parse("allowances", ALLOWANCES).is_ok());
    assert!(Seats::decode(SEATS.as_bytes()).is_ok());
    assert!(serde_json::from_str::<HostList>(HOSTS).is_ok());
    assert!(serde_json::from_str::<RangeResponse>(RANGE).is_ok());
    assert!(KEY.parse::<Key>().is_ok());
}

#[test]
fn written_lists_are_read_back_unchanged() {
    let plans = Plans::parse("plans", PLANS).expect("the list is valid");
    let allowances = Allowances::parse("allowances", ALLOWANCES).expect("the list is valid");

    let plans_again = Plans::parse("plans", &plans.to_json().to_string());
    let allowances_again = Allowances::parse("allowances", &allowances.to_json().to_string());

    assert_eq!(plans_again.ok(), Some(plans));
    assert_eq!(allowances_again.ok(), Some(allowances));
}

#[test]
fn only_the_canonical_spelling_of_a_key_is_accepted() {
    let spellings = [
        KEY.replace("ff", "FF"),
        KEY.replace("/1", "/01"),
        KEY.replace("/1", "/+1"),
        "01A23F2C-656D-71F4-8BA3-000000000000".to_owned(),
        "{01a23f2c-656d-71f4-8ba3-000000000000}".to_owned(),
    ];

    for spelling in spellings {
        assert!(spelling.parse::<Key>().is_err(), "accepted {spelling}");
    }
}
