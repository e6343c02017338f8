//! While a host is stopped as planned, the process of the host that took its minions over is killed.

use crate::Verdict;
use crate::handover::overlaps;
use crate::host::SIGTERM;
use crate::record::Record;
use crate::site::{MINIONS_PER_ZONE, RESEND, Site, ZONES, job_with_cpu};
use std::thread;
use std::time::Duration;

/// Zone in which the host is stopped.
const ZONE: &str = ZONES[0];
/// The job at the leaving host, which has a task for each minion of the zone.
const FIRST_MS: u64 = 5_200;
const FIRST_CPU: u32 = 9_000;
/// Jobs of one task at the next host, the work of a task, and the time between two jobs.
const JOBS: usize = 7;
const WORK_MS: u64 = 4_500;
const CPU: u32 = 3_600;
const PERIOD: Duration = Duration::from_millis(45);
/// Time that a client waits for the answer.
const DEADLINE: Duration = Duration::from_secs(15);
/// Attempts of a client.
const ATTEMPTS: u32 = 3;
/// Time from the first job to SIGTERM, and from there to the other jobs: the balancer has taken the
/// leaving host out of rotation by then.
const UNTIL_TERM: Duration = Duration::from_millis(300);
const UNTIL_JOBS: Duration = Duration::from_millis(2_300);
/// Time until a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let leaving = site.dispatcher(ZONE)?;
    let next = (0..site.hosts.len()).find(|i| site.hosts[*i].zone == ZONE && *i != leaving)?;
    let first = {
        let (site, id) = (site.clone(), site.new_id());
        let body = job_with_cpu(MINIONS_PER_ZONE as u32, FIRST_MS, FIRST_CPU);
        thread::spawn(move || site.submit(leaving, &id, &body, DEADLINE))
    };
    thread::sleep(UNTIL_TERM);
    record.note(&format!("SIGTERM     {}", site.hosts[leaving].name));
    site.hosts[leaving].signal(SIGTERM);
    thread::sleep(UNTIL_JOBS);
    let mut clients = Vec::new();
    for _ in 0..JOBS {
        let (site, id) = (site.clone(), site.new_id());
        clients.push(thread::spawn(move || {
            let body = job_with_cpu(1, WORK_MS, CPU);
            let mut answer = site.submit(next, &id, &body, DEADLINE);
            for _ in 1..ATTEMPTS {
                if answer.status().is_some_and(|status| status != 502 && status != 504) {
                    break;
                }
                thread::sleep(RESEND);
                answer = site.submit(site.forward(ZONE, None), &id, &body, DEADLINE);
            }
            answer
        }));
        thread::sleep(PERIOD);
    }
    if trouble {
        let host = &site.hosts[next];
        record.note(&format!("SIGKILL     {}", host.name));
        host.kill();
        thread::sleep(RESTART_DELAY);
        host.start().ok()?;
        record.note(&format!("started     {}", host.name));
    }
    first.join().ok()?;
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_secs(1));
    site.stop();
    // Without an answer 200 to any of these jobs the deployment did not work.
    if !answers.iter().any(|answer| answer.status() == Some(200)) {
        return None;
    }
    Some(overlaps(record))
}
