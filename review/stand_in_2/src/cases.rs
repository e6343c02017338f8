//! The cases. Each returns whether its rule was broken.

use crate::host::Signal;
use crate::http::Reply;
use crate::minion::{Kind, Span};
use crate::site::{Job, RESEND, SERVICE, Site};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether two runs of one task of a job were at work at the same time, and records them.
fn has_runs_at_once(site: &Site, job: &str) -> bool {
    let spans = site.spans();
    let runs: Vec<&Span> = spans.iter().filter(|span| span.task.starts_with(job)).collect();
    let mut is_broken = false;
    for (index, one) in runs.iter().enumerate() {
        let is_at_once = |other: &&&Span| {
            other.task == one.task && one.ended.is_none_or(|ended| ended > other.began)
        };
        for other in runs[index + 1..].iter().filter(is_at_once) {
            is_broken = true;
            let text = |span: &Span| {
                let ended = span.ended.map_or(f64::INFINITY, |ended| ended.as_secs_f64());
                let began = span.began.as_secs_f64();
                let Span { number, minion, how, .. } = span;
                format!("run {number} on {minion} from {began:.3} s to {ended:.3} s ({how})")
            };
            let (first, second) = (text(one), text(other));
            site.record.say(format!("broken: {} runs twice: {first}, {second}", one.task));
        }
    }
    is_broken
}

/// Hosts are stopped and started in turn while minions that don't guard their capacity are busy.
pub fn limit_at_a_planned_stop(folder: &Path, has_trouble: bool) -> bool {
    const CAPACITY: u64 = 16_000;
    let mut site = Site::start(folder, /* guards: */ false);
    for _ in 0..4 {
        let labels = vec!["a", "r1"];
        site.add_minion(Kind { service: SERVICE, zone: "a", cpu: CAPACITY, labels, guards: false });
    }
    site.add_host("a", 0.25);
    site.add_host("a", 0.25);
    site.start_hosts();
    let fronts: Vec<_> = site.hosts.iter().map(|host| (host.name.clone(), host.front)).collect();
    // The host that the balancer leaves out.
    let left_out = Arc::new(AtomicUsize::new(usize::MAX));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12)
        .map(|client| {
            let (fronts, record) = (fronts.clone(), site.record.clone());
            let (left_out, is_over) = (left_out.clone(), is_over.clone());
            thread::spawn(move || {
                let mut next = client;
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let work_ms = 500 + (client as u64 * 131 + number * 77) % 400;
                    let job = Job::new(2, work_ms, 6_800, None);
                    for _ in 0..3 {
                        next += 1;
                        if next % fronts.len() == left_out.load(Ordering::Relaxed) {
                            next += 1;
                        }
                        let (host, front) = &fronts[next % fronts.len()];
                        let reply = job.submit(host, *front, Duration::from_millis(3_000), &record);
                        match reply {
                            Reply::Status(200 | 503, _) => break,
                            _ => thread::sleep(RESEND),
                        }
                    }
                    sleep_ms(20);
                }
            })
        })
        .collect();
    sleep_ms(4_000);
    for index in 0..site.hosts.len() {
        if has_trouble {
            site.hosts[index].signal(Signal::Terminate);
            sleep_ms(1_000);
            left_out.store(index, Ordering::Relaxed);
            site.hosts[index].wait_end();
            site.hosts[index].start();
            if !site.hosts[index].wait_ready() {
                site.cannot_run();
            }
            left_out.store(usize::MAX, Ordering::Relaxed);
            sleep_ms(4_000);
        } else {
            sleep_ms(10_000);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    site.end_hosts();
    let spans = site.spans();
    let over: Vec<_> = spans.iter().filter(|span| span.cpu_in_use > CAPACITY).collect();
    for span in over.iter().take(10) {
        site.record.say(format!(
            "broken: {} has {} of {CAPACITY} in use once {} run {} has begun at {:.3} s",
            span.minion,
            span.cpu_in_use,
            span.task,
            span.number,
            span.began.as_secs_f64()
        ));
    }
    site.record.say(format!("result: {} starts, {} over the capacity", spans.len(), over.len()));
    !over.is_empty()
}

/// A minion leaves orders to stop unanswered and carries them out late, while starts and polls are
/// answered. A client that got no result in time sends its job again.
pub fn stops_unanswered(folder: &Path, has_trouble: bool) -> bool {
    /// Largest share of orders without an answer in the site files (`applied_late`).
    const MAX_SHARE: f64 = 0.055;
    let mut site = Site::start(folder, /* guards: */ true);
    for zone in ["a", "b"] {
        let labels = vec!["a", "r1"];
        site.add_minion(Kind { service: SERVICE, zone, cpu: 64_000, labels, guards: true });
        site.add_host(zone, 0.25);
    }
    site.start_hosts();
    let fronts: Vec<_> = site.hosts.iter().map(|host| (host.name.clone(), host.front)).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let ((host, front), record) = (fronts[client % 2].clone(), site.record.clone());
            let is_over = is_over.clone();
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let job = Job::new(4, 15, 500, None);
                    job.submit(&host, front, Duration::from_millis(1_500), &record);
                    sleep_ms(20);
                }
            })
        })
        .collect();
    sleep_ms(1_000);
    let mut is_broken = false;
    let (mut orders, mut unanswered) = (0, 0);
    for _ in 0..3 {
        let before = site.orders();
        // Takes longer than the client waits; its estimate is too low.
        let job = Job::with_estimate(1, 6_000, 900, 2_000, None);
        if has_trouble {
            site.minions[0].delay_stops(Some(Duration::from_millis(4_000)));
            site.record.say(format!("{} leaves orders to stop unanswered", site.minions[0].id));
        }
        let (host, front) = &fronts[0];
        let wait = Duration::from_millis(1_500);
        let first = job.submit(host, *front, wait, &site.record);
        site.record.say(format!("{} was sent to {host}: {first:?}", job.id));
        thread::sleep(RESEND);
        let (host, front) = &fronts[1];
        let second = job.submit(host, *front, wait, &site.record);
        site.record.say(format!("{} was sent again to {host}: {second:?}", job.id));
        sleep_ms(700);
        site.minions[0].delay_stops(None);
        let after = site.orders();
        orders += after.0 - before.0;
        unanswered += after.1 - before.1;
        sleep_ms(8_000);
        is_broken |= has_runs_at_once(&site, &job.id);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    site.end_hosts();
    let share = unanswered as f64 / orders.max(1) as f64;
    site.record.say(format!(
        "result: meanwhile {unanswered} of {orders} orders to minions were left unanswered ({share:.3})"
    ));
    if share > MAX_SHARE {
        site.record.say("result: more than the pages allow, so the case could not run");
        std::process::exit(2);
    }
    is_broken
}

/// Jobs are cancelled while their minions are cut off, and the host that took them is killed. Its next
/// process takes other jobs, which nobody cancels.
pub fn answer_of_another_job(folder: &Path, has_trouble: bool) -> bool {
    let mut site = Site::start(folder, /* guards: */ true);
    for index in 0..12 {
        let labels = if index < 2 { vec!["a", "r1"] } else { vec!["b", "r2"] };
        site.add_minion(Kind { service: SERVICE, zone: "a", cpu: 64_000, labels, guards: true });
    }
    site.add_host("a", 0.19);
    // The larger host dispatches.
    site.add_host("a", 0.62);
    site.start_hosts();
    let (first, second) = (site.hosts[0].name.clone(), site.hosts[1].name.clone());
    let (first_front, second_front) = (site.hosts[0].front, site.hosts[1].front);
    let wait = Duration::from_millis(1_500);
    let send = |job: &Job| {
        let (job, host, record) = (job.clone(), first.clone(), site.record.clone());
        thread::spawn(move || {
            let reply = job.submit(&host, first_front, wait, &record);
            (job, reply)
        })
    };
    let mut is_broken = false;
    let cancelled: Vec<Job> = (0..6).map(|_| Job::new(1, 1_300, 2_000, Some("a"))).collect();
    let mut submitted = Vec::new();
    for (index, job) in cancelled.iter().enumerate() {
        submitted.push(send(job));
        sleep_ms(30);
        if index == 2 {
            // A client cancels a job that has ended or was never taken.
            Job::new(1, 1, 1, None).cancel(&first, first_front, &site.record);
        }
    }
    if has_trouble {
        site.minions[..2].iter().for_each(|minion| minion.cut_off(true));
    }
    sleep_ms(50);
    for job in &cancelled {
        job.cancel(&second, second_front, &site.record);
    }
    if has_trouble {
        sleep_ms(100);
        site.hosts[0].signal(Signal::Kill);
        site.hosts[0].wait_end();
        sleep_ms(200);
        site.hosts[0].start();
        if !site.hosts[0].wait_ready() {
            site.cannot_run();
        }
    }
    for sent in submitted {
        let _ = sent.join();
    }
    sleep_ms(1_200);
    let others: Vec<_> = (0..8).map(|_| send(&Job::new(1, 1_300, 2_000, Some("b")))).collect();
    sleep_ms(100);
    if has_trouble {
        site.minions[..2].iter().for_each(|minion| minion.cut_off(false));
    }
    let replies: Vec<(Job, Reply)> =
        others.into_iter().filter_map(|sent| sent.join().ok()).collect();
    sleep_ms(1_500);
    site.end_hosts();
    let spans = site.spans();
    for (job, reply) in replies {
        let is_cancelled = matches!(&reply, Reply::Status(200, body) if body.contains("cancelled"));
        if is_cancelled {
            is_broken = true;
            let run = spans.iter().find(|span| span.task.starts_with(&job.id));
            let how = run.map_or("not started", |run| run.how);
            site.record.say(format!(
                "broken: {} was answered {reply:?}, and no client cancelled it; its task: {how}",
                job.id
            ));
        }
    }
    site.record.say("result: see above");
    is_broken
}

/// A minion leaves orders to start unanswered and crashes. They are carried out late, by the process
/// that has started again under its id.
pub fn late_start_at_the_next_process(folder: &Path, has_trouble: bool) -> bool {
    let mut site = Site::start(folder, /* guards: */ true);
    for _ in 0..8 {
        let labels = vec!["a", "r1"];
        site.add_minion(Kind { service: SERVICE, zone: "a", cpu: 64_000, labels, guards: true });
    }
    site.add_host("a", 0.25);
    site.add_host("a", 0.25);
    site.start_hosts();
    let fronts: Vec<_> = site.hosts.iter().map(|host| (host.name.clone(), host.front)).collect();
    let (mut clients, mut jobs) = (Vec::new(), Vec::new());
    let mut delaying = None;
    for tick in 0..50 {
        let job = Job::new(8, 6_000, 1_000, None);
        jobs.push(job.id.clone());
        let ((host, front), record) = (fronts[tick % 2].clone(), site.record.clone());
        clients.push(thread::spawn(move || {
            job.submit(&host, front, Duration::from_millis(15_000), &record)
        }));
        sleep_ms(200);
        if !has_trouble {
            continue;
        }
        match delaying {
            None if tick >= 5 => {
                delaying = Some(site.orders());
                site.minions[0].delay_starts(Some(Duration::from_millis(4_000)));
            }
            // The orders of one job are enough.
            Some(before) if site.orders().1 > before.1 => {
                site.minions[0].delay_starts(None);
            }
            _ => {}
        }
        match tick {
            10 => site.minions[0].crash(),
            20 => site.minions[0].start_again(),
            _ => {}
        }
    }
    let before = delaying.unwrap_or_default();
    let (orders, unanswered) = (site.orders().0 - before.0, site.orders().1 - before.1);
    for client in clients {
        let _ = client.join();
    }
    site.end_hosts();
    let broken = jobs.iter().filter(|job| has_runs_at_once(&site, job)).count();
    site.record.say(format!(
        "result: {broken} of {} jobs ran twice at once; {unanswered} of {orders} orders were left unanswered",
        jobs.len()
    ));
    broken > 0
}

/// Some minions are partitioned from the store, and their entries expire one after another. The first
/// one changes the number of hosts that dispatch, so that one host releases its minions.
pub fn entries_that_expire(folder: &Path, has_trouble: bool) -> bool {
    /// One more than a host of this size dispatches to.
    const MINIONS: usize = 22;
    /// Minions of the zone that are partitioned. The entry of the second one expires first.
    const CUT: [usize; 2] = [0, 10];
    let mut site = Site::start(folder, /* guards: */ true);
    for index in 0..MINIONS + 3 {
        let zone = if index < MINIONS { "a" } else { "b" };
        let labels = vec!["a", if zone == "a" { "r1" } else { "r2" }];
        site.add_minion(Kind { service: SERVICE, zone, cpu: 16_000, labels, guards: true });
        // Heartbeats of minions that start one after another.
        sleep_ms(60);
    }
    site.add_host("a", 0.09);
    site.add_host("a", 0.09);
    site.add_host("b", 0.09);
    site.start_hosts();
    let fronts: Vec<_> = site.hosts.iter().map(|host| (host.name.clone(), host.front)).collect();
    if has_trouble {
        CUT.iter().for_each(|index| site.minions[*index].cut_from_store(true));
    }
    let began = site.record.now();
    let wait = Duration::from_millis(12_000);
    // One task for each minion of the zone.
    let jobs: Vec<Job> = (0..MINIONS).map(|_| Job::new(1, 9_000, 9_000, None)).collect();
    let mut clients = Vec::new();
    for (index, job) in jobs.iter().enumerate() {
        let (job, fronts, record) = (job.clone(), fronts.clone(), site.record.clone());
        sleep_ms(40);
        clients.push(thread::spawn(move || {
            let (host, front) = &fronts[index % 2];
            let reply = job.submit(host, *front, wait, &record);
            if !matches!(reply, Reply::Status(200 | 429 | 503, _)) {
                record.say(format!("{} was sent to {host}: {reply:?}", job.id));
                thread::sleep(RESEND);
                let (host, front) = &fronts[2];
                let reply = job.submit(host, *front, wait, &record);
                record.say(format!("{} was sent again to {host}: {reply:?}", job.id));
            }
        }));
    }
    for tick in 0..12 {
        let job = Job::one_per_minion(MINIONS as u64 - 2, 5_000, 1_000, "r1");
        let ((host, front), record) = (fronts[tick % 2].clone(), site.record.clone());
        clients.push(thread::spawn(move || {
            job.submit(&host, front, wait, &record);
        }));
        sleep_ms(300);
    }
    thread::sleep((began + Duration::from_millis(4_950)).saturating_sub(site.record.now()));
    if has_trouble {
        CUT.iter().for_each(|index| site.minions[*index].cut_from_store(false));
    }
    for client in clients {
        let _ = client.join();
    }
    site.end_hosts();
    let broken = jobs.iter().filter(|job| has_runs_at_once(&site, &job.id)).count();
    site.record.say(format!("result: {broken} of {} jobs ran twice at once", jobs.len()));
    broken > 0
}
