//! Case 13: a crowd of jobs inside all limits of the pages takes a host over the memory of its machine.

use review_stand_in_3::caller::Job;
use review_stand_in_3::deployment::Deployment;
use review_stand_in_3::fleet::Machine;
use review_stand_in_3::has_trouble;
use review_stand_in_3::record::Record;
use review_stand_in_3::verdict::{Verdict, play};
use std::process::ExitCode;
use std::time::Duration;

const CLIENTS: usize = 600;

fn main() -> ExitCode {
    play(case)
}

async fn case(record: Record) -> Verdict {
    let machine = Machine { cpu_share: 0.19, memory_mb: 195, max_fds: 3_075 };
    let Some(mut deployment) = Deployment::start(machine, &record).await else {
        return Verdict::CouldNotRun;
    };
    let tasks = if has_trouble() { 340 } else { 4 };
    let job = Job { tasks, work_ms: 1_000, cpu: 10, spec_bytes: 3_900, ..Job::default() };
    deployment.crowd(CLIENTS, job, Duration::from_millis(1_500)).await;
    let over = deployment.hosts_over_memory();
    let has_ended = deployment.has_ended();
    record.say(format!("hosts over their memory: {over}; a process has ended: {has_ended}"));
    if over > 0 || has_ended { Verdict::Broken } else { Verdict::Held }
}
