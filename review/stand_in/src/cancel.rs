//! Jobs are cancelled at another host than the one that holds them.

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, ZONES, job_of_two_steps};
use std::thread;
use std::time::{Duration, Instant};

/// Number of jobs, one for each client.
const JOBS: usize = 6;
/// Work of the first step's task and of the second step's, which follows it.
const FIRST_MS: u64 = 4_000;
const SECOND_MS: u64 = 1_000;
/// Time that a client waits for the answer to its job.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time from a job to its cancelling.
const UNTIL_CANCEL: Duration = Duration::from_millis(700);
/// Bounds of the deployment (`cancel_ms`, `stop_ms`).
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);
const STOP_BOUND: Duration = Duration::from_millis(50);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let mut jobs = Vec::new();
    for index in 0..JOBS {
        let site = site.clone();
        jobs.push(thread::spawn(move || {
            let zone = ZONES[index % ZONES.len()];
            let id = site.new_id();
            let submitting = {
                let (site, id) = (site.clone(), id.clone());
                let host = site.forward(zone, None);
                let body = job_of_two_steps(FIRST_MS, SECOND_MS);
                thread::spawn(move || site.submit(host, &id, &body, DEADLINE))
            };
            thread::sleep(UNTIL_CANCEL);
            // A new connection, which the balancer forwards to any host of the client's zone.
            let cancelled = trouble.then(|| site.cancel(site.forward(zone, None), &id));
            let acknowledged = Instant::now();
            let is_acknowledged = cancelled
                .and_then(|answer| answer.status())
                .is_some_and(|status| (200..300).contains(&status) || status == 410);
            let answer = submitting.join().ok();
            (id, is_acknowledged.then_some(acknowledged), answer.and_then(|answer| answer.status()))
        }));
    }
    let jobs: Vec<_> = jobs.into_iter().filter_map(|job| job.join().ok()).collect();
    site.stop();
    if !trouble && jobs.iter().any(|(_, _, status)| *status != Some(200)) {
        return None;
    }
    let mut broken = Vec::new();
    for (id, acknowledged, _) in &jobs {
        let Some(acknowledged) = acknowledged else { continue };
        let bound = *acknowledged + CANCEL_BOUND;
        for run in record.runs().iter().filter(|run| run.task.starts_with(id.as_str())) {
            let after_ms = |at: Instant| at.duration_since(*acknowledged).as_millis();
            if run.began > bound {
                broken.push(format!(
                    "UNASKED: {} started {} ms after its job's cancelling was acknowledged",
                    run.task,
                    after_ms(run.began)
                ));
            } else if run.ended.is_none_or(|ended| ended > bound + STOP_BOUND) {
                broken.push(format!(
                    "UNASKED: {} ran on until {} ms after its job's cancelling was acknowledged",
                    run.task,
                    after_ms(run.ended.unwrap_or_else(Instant::now))
                ));
            }
        }
    }
    Some(broken)
}
