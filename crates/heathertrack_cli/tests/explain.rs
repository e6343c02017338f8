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
