//! `heathertrack lists` with concurrent edits, a killed program, lost answers of the store and
//! suspended hosts.

use heathertrack_testkit::fixture::{Cluster, ClusterSpec, Programs, eventually};
use heathertrack_testkit::platform::Fault;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::time::Duration;
use tokio::process::Command;
use tokio::task::JoinSet;

/// Exit code when an edit is stored, but not in force on every host in time.
const NOT_IN_FORCE: i32 = 3;
/// Exit code when the list was changed since the edited revision.
const CONFLICT: i32 = 4;

/// Runs `heathertrack lists` and returns its output.
async fn run_lists(cluster: &Cluster, arguments: &[&str]) -> Output {
    let store = cluster.platform.to_string();
    let mut command = Command::new(Programs::build().cli());
    command.args(["--json", "lists", "--store", &store]).args(arguments);
    command.stdin(Stdio::null()).output().await.expect("the program can be run")
}

/// Returns a list as `heathertrack lists show` prints it.
async fn show(cluster: &Cluster, list: &str) -> Value {
    let output = run_lists(cluster, &["show", list]).await;
    serde_json::from_slice(&output.stdout).expect("`lists show` prints JSON")
}

/// Writes a JSON value to a temporary file whose name is unique to the cluster.
fn write_file(name: &str, cluster: &Cluster, value: &Value) -> PathBuf {
    let file = std::env::temp_dir().join(format!("{name}-{}.json", cluster.platform));
    std::fs::write(&file, value.to_string()).expect("writing a temporary file succeeds");
    file
}

/// Applies a list and waits until it is in force on all hosts.
async fn apply(cluster: &Cluster, file: &Path) -> Output {
    let mut arguments = vec!["apply".to_owned(), file.display().to_string()];
    for host in &cluster.hosts {
        arguments.extend(["--operators".to_owned(), host.operator_address.to_string()]);
    }
    arguments.extend(["--wait".to_owned(), "60".to_owned()]);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    run_lists(cluster, &arguments).await
}

/// Returns a copy of the list of plans in which one customer's worth is changed.
fn with_worth(list: &Value, worth: f64) -> Value {
    let mut list = list.clone();
    list["customers"]["kadriorg-crafts"]["worth"] = json!(worth);
    list
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_edits_one_is_applied_and_the_others_are_rejected() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let original = show(&cluster, "plans").await;
    let files: Vec<PathBuf> = (1..=5)
        .map(|n| write_file(&format!("race-{n}"), &cluster, &with_worth(&original, f64::from(n))))
        .collect();

    let mut racing = JoinSet::new();
    let cluster = std::sync::Arc::new(cluster);
    for file in files {
        let cluster = cluster.clone();
        racing.spawn(async move { apply(&cluster, &file).await.status.code() });
    }
    let mut codes = racing.join_all().await;
    codes.sort_unstable();
    let now = show(&cluster, "plans").await;

    assert_eq!(codes, [Some(0), Some(CONFLICT), Some(CONFLICT), Some(CONFLICT), Some(CONFLICT)]);
    assert!(now["revision"].as_u64() > original["revision"].as_u64());
    for host in &cluster.hosts {
        let status = host.status().await.expect("the host answers");
        assert_eq!(Some(status.plans.revision), now["revision"].as_u64());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_answer_was_lost_is_found_to_be_applied() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let edit = with_worth(&show(&cluster, "plans").await, 7.0);
    let file = write_file("lost", &cluster, &edit);

    cluster.set_platform_fault(Fault { lose_answers: true, ..Fault::default() }).await;
    let applying = apply(&cluster, &file);
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.set_platform_fault(Fault::default()).await;
    };
    let (output, ()) = tokio::join!(applying, recovery);
    let now = show(&cluster, "plans").await;

    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(now["customers"]["kadriorg-crafts"]["worth"], 7.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_accepted_before_its_program_was_killed_comes_into_force() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let original = show(&cluster, "plans").await;
    let file = write_file("killed", &cluster, &with_worth(&original, 9.0));

    let store = cluster.platform.to_string();
    let mut program = Command::new(Programs::build().cli())
        .args(["lists", "--store", &store, "apply", &file.display().to_string()])
        // Nothing listens on this port, so the program still waits after the store has accepted
        // the edit.
        .args(["--operators", "127.0.0.1:1", "--wait", "60"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program can be run");
    eventually("the store has the edit", || async {
        show(&cluster, "plans").await["customers"]["kadriorg-crafts"]["worth"] == 9.0
    })
    .await;
    program.kill().await.expect("the program can be killed");
    let revision = show(&cluster, "plans").await["revision"].as_u64();

    for host in &cluster.hosts {
        eventually("the edit is in force", || async {
            host.status().await.map(|status| status.plans.revision) == revision
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_is_not_reported_in_force_while_a_host_lacks_it() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let edit = with_worth(&show(&cluster, "plans").await, 3.0);
    let file = write_file("lacking", &cluster, &edit).display().to_string();
    // The program gets the address of one host and learns the others from it.
    let operators = cluster.hosts[0].operator_address.to_string();

    cluster.hosts[1].process.suspend();
    let waited = ["apply", &file, "--operators", &operators, "--wait", "8"];
    let output = run_lists(&cluster, &waited).await;
    cluster.hosts[1].process.resume();

    let summary: Value = serde_json::from_slice(&output.stdout).expect("`lists apply` prints JSON");
    assert_eq!(output.status.code(), Some(NOT_IN_FORCE));
    assert_eq!(summary["missing"], json!([format!("{} (does not answer)", cluster.hosts[1].name)]));
    assert_eq!(summary["asked"].as_u64(), Some(cluster.hosts.len() as u64));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_address_of_a_host_suffices_to_ask_all_hosts() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let edit = with_worth(&show(&cluster, "plans").await, 4.0);
    let file = write_file("everywhere", &cluster, &edit).display().to_string();
    let operators = cluster.hosts[2].operator_address.to_string();

    let output =
        run_lists(&cluster, &["apply", &file, "--operators", &operators, "--wait", "60"]).await;

    let summary: Value = serde_json::from_slice(&output.stdout).expect("`lists apply` prints JSON");
    assert_eq!(output.status.code(), Some(0), "{summary}");
    assert_eq!(summary["asked"].as_u64(), Some(cluster.hosts.len() as u64));
    for host in &cluster.hosts {
        let status = host.status().await.expect("the host answers");
        assert_eq!(Some(status.plans.revision), summary["revision"].as_u64());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_history_of_a_list_shows_what_each_edit_changed() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let first = show(&cluster, "plans").await;
    for (name, worth) in [("history-1", 5.0), ("history-2", 6.0)] {
        let edit = with_worth(&show(&cluster, "plans").await, worth);
        assert_eq!(
            apply(&cluster, &write_file(name, &cluster, &edit)).await.status.code(),
            Some(0)
        );
    }

    let output = run_lists(&cluster, &["history", "plans"]).await;

    let history: Value =
        serde_json::from_slice(&output.stdout).expect("`lists history` prints JSON");
    let history = history.as_array().expect("`lists history` prints an array");
    // The latest edit comes first.
    let worth = |edit: usize, side: &str| history[edit]["changes"][0][side]["worth"].as_f64();
    // Two edits, and the list that the fixture wrote.
    assert_eq!(history.len(), 3);
    assert_eq!((worth(0, "before"), worth(0, "after")), (Some(5.0), Some(6.0)));
    assert_eq!((worth(1, "before"), worth(1, "after")), (Some(1.0), Some(5.0)));
    assert!(history[0]["written_ms"].is_u64(), "{history:?}");
    assert_eq!(history[2]["revision"], first["revision"]);
}
