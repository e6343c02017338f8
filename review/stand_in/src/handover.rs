//! A host is stopped as planned and its process is killed before it has ended.

use crate::Verdict;
use crate::host::SIGTERM;
use crate::record::{Record, Run};
use crate::site::{MINIONS_PER_ZONE, Site, ZONES, job};
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

/// Zone in which the host is stopped.
const ZONE: &str = ZONES[0];
/// Work of a task of the jobs at the leaving host and at the next one. Each job has a task for each
/// minion of the zone.
const WORK_MS: u64 = 4_500;
/// Time that a client waits for the answer.
const DEADLINE: Duration = Duration::from_secs(15);
/// Attempts of a client.
const ATTEMPTS: u32 = 3;
/// Time from the first job to SIGTERM, from there to the second job, and from there to the kill.
const UNTIL_TERM: Duration = Duration::from_millis(500);
const UNTIL_SECOND: Duration = Duration::from_millis(500);
const UNTIL_KILL: Duration = Duration::from_millis(500);
/// Time until a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let leaving = site.dispatcher(ZONE)?;
    let next = (0..site.hosts.len()).find(|i| site.hosts[*i].zone == ZONE && *i != leaving)?;
    let submit = |host: usize| {
        let (site, id) = (site.clone(), site.new_id());
        let body = job(MINIONS_PER_ZONE as u32, WORK_MS);
        thread::spawn(move || site.run_job(host, &id, &body, DEADLINE, ATTEMPTS))
    };
    let first = submit(leaving);
    thread::sleep(UNTIL_TERM);
    let host = &site.hosts[leaving];
    record.note(&format!("SIGTERM     {}", host.name));
    host.signal(SIGTERM);
    thread::sleep(UNTIL_SECOND);
    let second = submit(next);
    thread::sleep(UNTIL_KILL);
    if trouble {
        record.note(&format!("SIGKILL     {}", host.name));
        host.kill();
    } else {
        let end = Instant::now() + Duration::from_secs(7);
        while !host.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        record.note(&format!("ended       {}", host.name));
    }
    thread::sleep(RESTART_DELAY);
    host.kill();
    host.start().ok()?;
    let answers = [first.join().ok()?, second.join().ok()?];
    thread::sleep(Duration::from_secs(1));
    site.stop();
    // Without an answer 200 to any job the deployment did not work.
    if !answers.iter().any(|answer| answer.status() == Some(200)) {
        return None;
    }
    Some(overlaps(record))
}

/// Returns the runs of one task that overlap.
pub fn overlaps(record: &Record) -> Vec<String> {
    let mut by_task: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in record.runs() {
        by_task.entry(run.task.clone()).or_default().push(run);
    }
    let mut broken = Vec::new();
    for runs in by_task.values_mut() {
        runs.sort_by_key(|run| run.began);
        for pair in runs.windows(2) {
            let ended = pair[0].ended.unwrap_or_else(Instant::now);
            if pair[1].began < ended {
                broken.push(format!(
                    "TWICE: {} ran on {} ({}) and on {} ({}) at the same time, for {} ms",
                    pair[0].task,
                    pair[0].minion,
                    pair[0].how,
                    pair[1].minion,
                    pair[1].how,
                    pair[1].ended.unwrap_or_else(Instant::now).min(ended).duration_since(pair[1].began).as_millis()
                ));
            }
        }
    }
    broken
}
