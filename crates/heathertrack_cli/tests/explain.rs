//! Tests of `heathertrack explain` on logs written by running hosts.

use heathertrack_stand_in::{Site, block_on};
use std::process::{Command, Output};
use std::time::Duration;
use tokio::time::sleep;

/// Number of entry hosts of each test.
const HOSTS: usize = 2;
/// Number of upstreams of each test.
const UPSTREAMS: usize = 2;
/// Number of tasks of each job.
const TASKS: u32 = 1;
/// Time for the last log lines to be written to the files.
const LOG_DELAY: Duration = Duration::from_millis(300);

/// Submits a job to the first host and runs `explain` on the logs of all hosts.
async fn submit_and_explain(site: &Site, job: (String, String)) -> (Option<u16>, Output) {
    let id = job.0.clone();
    let answer = site.submit_job(0, job).await;
    sleep(LOG_DELAY).await;
    (answer.status(), explain(site, &id))
}

fn explain(site: &Site, id: &str) -> Output {
    let program = env!("CARGO_BIN_EXE_heathertrack");
    Command::new(program).arg("explain").arg(id).args(site.log_paths()).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_refused_job_is_traced_to_the_dispatcher_and_its_reason() {
    block_on(async {
        let site = Site::start(HOSTS, UPSTREAMS).await;
        // 99 cores, more than any upstream has.
        let body = r#"{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":99000}]}"#;
        let job = ("00000000000000ab".to_owned(), body.to_owned());

        let (status, output) = submit_and_explain(&site, job).await;

        assert_eq!(status, Some(503));
        let text = stdout(&output);
        let cause = text.lines().last().unwrap_or_default();
        assert!(cause.starts_with("refused by edge-"), "{text}");
        assert!(cause.contains("no upstream can hold a task"), "{text}");
    });
}

#[test]
fn a_failed_job_is_traced_to_its_runs() {
    const WORK_MS: u64 = 30;
    block_on(async {
        let site = Site::start(HOSTS, UPSTREAMS).await;

        let (status, output) = submit_and_explain(&site, site.failing_job(TASKS, WORK_MS)).await;

        assert_eq!(status, Some(200));
        let text = stdout(&output);
        assert!(text.lines().last().unwrap_or_default().starts_with("failed after"), "{text}");
        // The route allows two attempts. Each is listed with its upstream.
        assert!(text.contains("(2 failed runs)"), "{text}");
        assert!(text.matches("run_ended").count() == 2 && text.contains("upstream=\"i-"), "{text}");
    });
}

#[test]
fn a_job_that_crashes_upstreams_is_traced_to_its_task() {
    const WORK_MS: u64 = 50;
    block_on(async {
        let site = Site::start(HOSTS, UPSTREAMS).await;
        let job = site.deadly_job(TASKS, WORK_MS);
        let task = format!("{}.0.0.0", job.0);

        let (status, output) = submit_and_explain(&site, job).await;

        assert_eq!(status, Some(504));
        let text = stdout(&output);
        let cause = format!("2 upstreams were lost under task {task}");
        assert!(text.lines().last().unwrap_or_default().contains(&cause), "{text}");
        assert_eq!(text.matches("runs_lost").count(), 2, "{text}");
    });
}

#[test]
fn a_late_job_is_traced_through_its_starts() {
    const WORK_MS: u64 = 280;
    const ESTIMATE_MS: u64 = 50;
    block_on(async {
        let site = Site::start(HOSTS, UPSTREAMS).await;

        let (status, output) =
            submit_and_explain(&site, site.job_with_wrong_estimate(WORK_MS, ESTIMATE_MS)).await;

        assert_eq!(status, Some(200));
        let text = stdout(&output);
        assert!(text.lines().last().unwrap_or_default().starts_with("late:"), "{text}");
        let events = ["job_routed", "job_taken", "task_started", "job_late"];
        let positions: Vec<_> = events.iter().map(|event| text.find(event)).collect();
        assert!(positions.iter().all(Option::is_some), "{text}");
        assert!(positions.is_sorted(), "{text}");
    });
}

#[test]
fn a_job_in_time_has_one_line_and_an_unknown_one_none() {
    const WORK_MS: u64 = 20;
    block_on(async {
        let site = Site::start(HOSTS, UPSTREAMS).await;

        let (status, output) = submit_and_explain(&site, site.job(TASKS, WORK_MS)).await;
        let unknown = explain(&site, "00000000000000ff");

        assert_eq!(status, Some(200));
        assert!(stdout(&output).ends_with("answered in time\n"), "{}", stdout(&output));
        // The log line and the cause.
        assert_eq!(stdout(&output).lines().count(), 2);
        assert_eq!(unknown.status.code(), Some(1));
        assert!(stdout(&unknown).contains("no line tells"), "{}", stdout(&unknown));
    });
}

/// Returns a log line of a host. `time_ms` is the time of day, `up_ms` that of the steady clock.
fn line(host: &str, event: &str, time_ms: u64, up_ms: u64) -> String {
    format!(
        r#"{{"event":"{event}","id":"ab","host":"{host}","time_ms":{time_ms},"up_ms":{up_ms}}}"#
    )
}

/// The time of day of the second host is 3,200 s ahead while the request is served.
#[test]
fn lines_stay_in_order_when_the_time_of_day_jumps() {
    let started = |host: &str| line(host, "started", 1_000_000, 0);
    let quiet = |host: &str| {
        let at = |n: u64| line(host, "peer_found", 1_000_000 + n, n).replace("\"ab\"", "\"-\"");
        (1..10).map(at).collect::<Vec<_>>().join("\n")
    };
    let first = [
        started("h1"),
        quiet("h1"),
        line("h1", "job_routed", 1_020_000, 20_000),
        line("h1", "job_not_run", 1_020_050, 20_050),
    ];
    let second = [started("h2"), quiet("h2"), line("h2", "job_refused", 4_220_020, 20_020)];
    let folder = std::env::temp_dir().join(format!("heathertrack-explain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let paths = [folder.join("h1.log"), folder.join("h2.log")];
    std::fs::write(&paths[0], first.join("\n")).unwrap();
    std::fs::write(&paths[1], second.join("\n")).unwrap();

    let program = env!("CARGO_BIN_EXE_heathertrack");
    let output = Command::new(program).args(["explain", "ab"]).args(&paths).output().unwrap();

    let text = stdout(&output);
    std::fs::remove_dir_all(&folder).unwrap();
    let position = |event: &str| text.find(event).unwrap_or_else(|| panic!("{event}: {text}"));
    assert!(position("job_routed") < position("job_refused"), "{text}");
    assert!(position("job_refused") < position("job_not_run"), "{text}");
}
