//! Case 11: after a burst of large jobs has left, ordinary jobs are never run again.

use review_stand_in_3::caller::Job;
use review_stand_in_3::deployment::Deployment;
use review_stand_in_3::fleet::Machine;
use review_stand_in_3::has_trouble;
use review_stand_in_3::record::Record;
use review_stand_in_3::verdict::{Verdict, play};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

const CLIENTS: usize = 300;
/// `recovery_s` of the sheet.
const RECOVERY: Duration = Duration::from_secs(12);
/// Ordinary requests that are sent after the recovery.
const REQUESTS: usize = 12;

fn main() -> ExitCode {
    play(case)
}

async fn case(record: Record) -> Verdict {
    let machine = Machine { cpu_share: 0.25, memory_mb: 260, max_fds: 4_100 };
    let Some(mut deployment) = Deployment::start(machine, &record).await else {
        return Verdict::CouldNotRun;
    };
    let tasks = if has_trouble() { 340 } else { 4 };
    let job = Job { tasks, work_ms: 1_000, cpu: 30, ..Job::default() };
    deployment.crowd(CLIENTS, job, Duration::from_millis(1_500)).await;
    sleep(RECOVERY).await;
    let (begun, running) = deployment.runs();
    record.say(format!("{begun} runs have begun so far, {running} go on"));
    let served = deployment.ordinary_requests("after the recovery", REQUESTS).await;
    deployment.hosts_over_memory();
    let has_ended = deployment.has_ended();
    record.say(format!("a process has ended by itself: {has_ended}"));
    if served * 4 < REQUESTS || has_ended { Verdict::Broken } else { Verdict::Held }
}
