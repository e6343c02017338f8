//! Validation of settings: every finding is reported with its line and path.

use heathertrackd::Settings;

const GOOD: &str = include_str!("../../../docs/examples/virumaa-e1.json");

#[test]
fn the_examples_are_valid() {
    let dongbaek = include_str!("../../../docs/examples/dongbaek-e1.json");

    assert!(Settings::read("virumaa", GOOD).is_ok());
    assert!(Settings::read("dongbaek", dongbaek).is_ok());
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let text = r#"{
  "name": "E 1",
  "listen": {"callers": "127.0.0.1:7100", "peers": "127.0.0.1:7100", "operators": "here"},
  "platform": {"store": [], "host_list": "ftp://x"},
  "policy": {"objective": "speed"},
  "limits": {"connections": 0},
  "nmae": "e1"
}"#;

    let findings = Settings::read("settings.json", text).expect_err("it has findings");

    let places: Vec<(usize, String)> =
        findings.iter().map(|finding| (finding.line, finding.path.clone())).collect();
    let expected = [
        (2, "name"),
        (1, ""),
        (3, "listen.peers"),
        (3, "listen.operators"),
        (4, "platform.store"),
        (4, "platform.host_list"),
        (5, "policy.objective"),
        (6, "limits.connections"),
        (7, "nmae"),
    ];
    let expected: Vec<(usize, String)> =
        expected.iter().map(|(line, path)| (*line, (*path).to_owned())).collect();
    assert_eq!(places, expected);
}
