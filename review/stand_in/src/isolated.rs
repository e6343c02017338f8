//! A host that is cut off from the other hosts dispatches on its own, and its process is killed.

use crate::Verdict;
use crate::handover::overlaps;
use crate::record::Record;
use crate::site::{HOSTS, MINIONS_PER_ZONE, RESEND, Site, ZONES, job, job_with_cpu};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Zone of the spare host.
const ZONE: &str = ZONES[0];
/// The long job, which has a task for each minion of the zone, and the work of a task.
const LONG_MS: u64 = 4_500;
const LONG_DEADLINE: Duration = Duration::from_secs(15);
/// Short jobs, which keep all minions in use: clients of each zone, work of a task, deadline. A
/// minion can run one task of them and one of the long job at a time.
const SHORT_CLIENTS: usize = 6;
const SHORT_CPU: u32 = 9_000;
const SHORT_MS: u64 = 250;
const SHORT_DEADLINE: Duration = Duration::from_millis(1_500);
/// Time from then to the long job. A host takes minions over with the runs of others on them once
/// these runs have outlived a lease.
const UNTIL_LONG: Duration = Duration::from_millis(1_200);
/// Time from the long job to the kill, and from there to the restart of the process.
const UNTIL_KILL: Duration = Duration::from_millis(700);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Duration of the cut (`for_s`).
const CUT: Duration = Duration::from_secs(5);
/// Time within which the spare host has to call minions.
const START_TIMEOUT: Duration = Duration::from_secs(4);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let site = Site::start_with_spare(record)?;
    let finished = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for zone in ZONES.iter().flat_map(|zone| [zone; SHORT_CLIENTS]) {
        let (site, finished) = (site.clone(), finished.clone());
        clients.push(thread::spawn(move || {
            while !finished.load(Ordering::Relaxed) {
                let id = site.new_id();
                let host = site.forward(zone, None);
                site.run_job(host, &id, &job_with_cpu(1, SHORT_MS, SHORT_CPU), SHORT_DEADLINE, 2);
                thread::sleep(Duration::from_millis(site.draw(40) as u64));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let spare = &site.hosts[HOSTS];
    record.note(&format!("added       {}", spare.name));
    site.set_spare_cut(trouble);
    let heal = Instant::now() + CUT;
    if trouble {
        record.note(&format!("cut off     {} from the other hosts", spare.name));
    }
    spare.start().ok()?;
    let end = Instant::now() + START_TIMEOUT;
    // Without the cut the host hands its jobs to the one that dispatches already.
    let is_serving =
        || spare.is_ready() && (!trouble || spare.gauge("heathertrack_cores").unwrap_or(0.0) > 0.0);
    while !is_serving() {
        if Instant::now() > end {
            record.note("the added host does not serve");
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(UNTIL_LONG);
    let long_job = {
        let site = site.clone();
        thread::spawn(move || {
            let (id, body) = (site.new_id(), job(MINIONS_PER_ZONE as u32, LONG_MS));
            let first = site.submit(HOSTS, &id, &body, LONG_DEADLINE);
            if first.status().is_some_and(|status| status != 502 && status != 504) {
                return first;
            }
            thread::sleep(RESEND);
            site.run_job(site.forward(ZONE, Some(HOSTS)), &id, &body, LONG_DEADLINE, 2)
        })
    };
    thread::sleep(UNTIL_KILL);
    if trouble {
        record.note(&format!("SIGKILL     {}", spare.name));
        spare.kill();
        thread::sleep(RESTART_DELAY);
        spare.start().ok()?;
    }
    thread::sleep(heal.saturating_duration_since(Instant::now()));
    site.set_spare_cut(false);
    if trouble {
        record.note("links open");
    }
    let answer = long_job.join().ok()?;
    finished.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    site.stop();
    // Without an answer 200 to the long job the deployment did not work.
    if answer.status() != Some(200) {
        return None;
    }
    Some(overlaps(record))
}
