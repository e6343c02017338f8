//! Case 12: one job of legal size takes each host that it reaches over the memory of its machine.

use review_stand_in_3::caller::Job;
use review_stand_in_3::deployment::Deployment;
use review_stand_in_3::fleet::Machine;
use review_stand_in_3::has_trouble;
use review_stand_in_3::record::Record;
use review_stand_in_3::verdict::{Verdict, play};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    play(case)
}

async fn case(record: Record) -> Verdict {
    let machine = Machine { cpu_share: 0.25, memory_mb: 260, max_fds: 4_100 };
    let Some(mut deployment) = Deployment::start(machine, &record).await else {
        return Verdict::CouldNotRun;
    };
    let spec_bytes = if has_trouble() { 250_000 } else { 250 };
    let job = Job { tasks: 2_000, work_ms: 1_000, cpu: 40, spec_bytes, ..Job::default() };
    deployment.crowd(1, job, Duration::from_millis(4_000)).await;
    let over = deployment.hosts_over_memory();
    let has_ended = deployment.has_ended();
    record.say(format!("hosts over their memory: {over}; a process has ended: {has_ended}"));
    if over > 0 || has_ended { Verdict::Broken } else { Verdict::Held }
}
