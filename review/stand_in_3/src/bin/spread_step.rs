//! Case 14: one job whose step limits its tasks per worker stops a host for longer than `contact_ms`.

use review_stand_in_3::caller::Job;
use review_stand_in_3::deployment::Deployment;
use review_stand_in_3::fleet::Machine;
use review_stand_in_3::has_trouble;
use review_stand_in_3::record::Record;
use review_stand_in_3::verdict::{Verdict, play};
use std::process::ExitCode;
use std::time::Duration;

/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    play(case)
}

async fn case(record: Record) -> Verdict {
    let machine = Machine { cpu_share: 0.25, memory_mb: 260, max_fds: 4_100 };
    let Some(mut deployment) = Deployment::start(machine, &record).await else {
        return Verdict::CouldNotRun;
    };
    let max_per_server = if has_trouble() { 10_000 } else { 0 };
    let tasks = if has_trouble() { 10_000 } else { 4 };
    let job = Job { tasks, work_ms: 1_000, cpu: 1, max_per_server, ..Job::default() };
    let watch = async {
        tokio::join!(
            deployment.longest_silence(0, Duration::from_secs(24)),
            deployment.longest_silence(1, Duration::from_secs(24)),
        )
    };
    let deadline = Duration::from_millis(4_000);
    let ((first, second), ()) = tokio::join!(watch, deployment.crowd(1, job, deadline));
    record.say(format!("longest time without an answer: {first:?} and {second:?}"));
    let has_ended = deployment.has_ended();
    record.say(format!("a process has ended by itself: {has_ended}"));
    let is_hung = first.max(second) > CONTACT;
    if is_hung || has_ended { Verdict::Broken } else { Verdict::Held }
}
