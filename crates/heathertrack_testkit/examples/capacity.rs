//! Measures processor time, memory and traffic of entry hosts as real processes, idle and under
//! load, and how they grow with the number of hosts, upstreams and customers and the size of jobs.
//! docs/CAPACITY.md takes its slopes from the results.

use argh::FromArgs;
use heathertrack_testkit::client::new_uuid;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Kernel clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time between the start of a cluster and its measurement while idle.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Duration of each measurement.
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Time limit for filling the records of a host, below the two minutes for which they are kept.
const FILL_TIMEOUT: Duration = Duration::from_secs(100);
/// Concurrent callers when the cost of tasks is measured, and customers when records are filled.
const CALLERS: usize = 16;
/// Allowance of tasks at once that no measurement reaches.
const AMPLE_TASKS_AT_ONCE: u32 = 100_000;
/// Allowance of starts per second that no measurement reaches.
const AMPLE_STARTS_PER_SECOND: f64 = 900_000.0;

/// Processor time that a process has used so far, and its resident memory.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    processor_seconds: f64,
    memory_mb: f64,
}

/// Reads the usage of the process with this ID from `/proc`.
fn usage(id: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    Usage {
        // User and system time are the 14th and 15th fields of the line, where the process ID is
        // the first; `fields` starts at the third.
        processor_seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        memory_mb: kilobytes.unwrap_or_default() / 1_024.0,
    }
}

/// Returns the bytes received on the loopback interface so far.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Measures the resource usage of an idle cluster, and prints it per entry host.
async fn measure_idle(what: &str, spec: ClusterSpec) {
    let cluster = Cluster::start(spec).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let count = cluster.hosts.len() as f64;
    let before: f64 = total_processor_seconds(&cluster);
    let (bytes, calls) = (loopback_bytes(), cluster.store_calls().await);
    tokio::time::sleep(MEASURED_TIME).await;
    let seconds = MEASURED_TIME.as_secs_f64();
    let processor = (total_processor_seconds(&cluster) - before) / seconds / count * 100.0;
    let memory = mean_memory_mb(&cluster);
    let kilobytes = (loopback_bytes() - bytes) / seconds / count / 1_024.0;
    let calls = (cluster.store_calls().await - calls) as f64 / seconds;
    println!(
        "{what}: {processor:.2}% of a core, {memory:.1} MB, {kilobytes:.1} KB/s a host (both ways, \
         platform included); {calls:.1} store calls/s in all"
    );
}

/// Returns the processor time that all entry hosts have used so far.
fn total_processor_seconds(cluster: &Cluster) -> f64 {
    cluster.hosts.iter().map(|host| usage(host.process.id()).processor_seconds).sum()
}

/// Returns the mean resident memory of an entry host.
fn mean_memory_mb(cluster: &Cluster) -> f64 {
    let all: f64 = cluster.hosts.iter().map(|host| usage(host.process.id()).memory_mb).sum();
    all / cluster.hosts.len() as f64
}

/// Measures the cost of a task in jobs of `tasks` tasks, with two hosts in one data centre.
async fn measure_task_cost(tasks: usize) {
    let spec = ClusterSpec::default().data_centres(&["dc-1"]).upstream_slowness(&[1.0; 8]);
    let cluster =
        Cluster::start(spec.allowance("wholesale", AMPLE_TASKS_AT_ONCE, AMPLE_STARTS_PER_SECOND))
            .await;
    let before = total_processor_seconds(&cluster);
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let caller = cluster.caller("pirita-souvenirs");
        let host = cluster.hosts[number % 2].caller_address;
        let job = cluster.job(tasks, 1);
        callers.spawn(async move {
            let mut done = 0;
            let ticket = caller.ticket(&host).await;
            while began.elapsed() < MEASURED_TIME {
                let key = format!("{ticket}/{done}");
                let answer = caller.submit(&host, Some(&key), &job).await;
                done += usize::from(answer.status == 200);
                if answer.status != 200 {
                    break;
                }
            }
            done
        });
    }
    let jobs: usize = callers.join_all().await.into_iter().sum();
    let seconds = began.elapsed().as_secs_f64();
    let tasks_started = (jobs * tasks) as f64;
    let micros = (total_processor_seconds(&cluster) - before) * 1e6 / tasks_started;
    println!(
        "jobs of {tasks}: {:.0} starts/s, {micros:.0} us of processor time a task, {jobs} jobs \
         recorded, {:.1} MB a host",
        tasks_started / seconds,
        mean_memory_mb(&cluster)
    );
}

/// Fills one host's records of jobs up to their limit, and prints its memory and how it then
/// answers callers.
async fn measure_full_records() {
    let spec = ClusterSpec::default()
        .data_centres(&["dc-1"])
        .hosts_per_centre(1)
        .upstream_slowness(&[1.0; 8]);
    let spec = spec.add_customers(CALLERS).allowance(
        "workshop",
        AMPLE_TASKS_AT_ONCE,
        AMPLE_STARTS_PER_SECOND,
    );
    let cluster = Cluster::start(spec).await;
    let host = cluster.hosts[0].caller_address;
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..4 * CALLERS {
        let caller = cluster.caller(&format!("more-{}", number % CALLERS));
        let job = cluster.job(1, 0);
        callers.spawn(async move {
            let ticket = caller.ticket(&host).await;
            let mut done = 0;
            loop {
                let answer = caller.submit(&host, Some(&format!("{ticket}/{done}")), &job).await;
                if answer.status != 200 || began.elapsed() > FILL_TIMEOUT {
                    return (done, answer);
                }
                done += 1;
            }
        });
    }
    let ended = callers.join_all().await;
    let jobs: usize = ended.iter().map(|(done, _)| done).sum();
    let refused_not_run = ended.iter().filter(|(_, answer)| answer.says_not_run()).count();
    let records = cluster.hosts[0].status().await.map_or(0, |status| status.records);
    println!(
        "records filled: {jobs} jobs answered in {:.0} s, {records} recorded, {:.1} MB; then {} of \
         {} callers were refused with not_run (status {})",
        began.elapsed().as_secs_f64(),
        mean_memory_mb(&cluster),
        refused_not_run,
        ended.len(),
        ended.first().map_or(0, |(_, answer)| answer.status)
    );
}

/// Measures store calls and response times of jobs under keys that the callers mint.
async fn measure_minted_keys(callers: usize) {
    let spec = ClusterSpec::default()
        .data_centres(&["dc-1"])
        .hosts_per_centre(4)
        .upstream_slowness(&[1.0; 8]);
    let cluster =
        Cluster::start(spec.allowance("wholesale", AMPLE_TASKS_AT_ONCE, AMPLE_STARTS_PER_SECOND))
            .await;
    let before = cluster.store_calls().await;
    let began = Instant::now();
    let mut sending = JoinSet::new();
    for number in 0..callers {
        let caller = cluster.caller("pirita-souvenirs");
        let host = cluster.hosts[number % 4].caller_address;
        let job = cluster.job(1, 1);
        sending.spawn(async move {
            let mut times = Vec::new();
            while began.elapsed() < MEASURED_TIME {
                let sent = Instant::now();
                let answer = caller.submit(&host, Some(&new_uuid()), &job).await;
                assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
                times.push(sent.elapsed());
            }
            times
        });
    }
    let mut times: Vec<Duration> = sending.join_all().await.into_iter().flatten().collect();
    let seconds = began.elapsed().as_secs_f64();
    times.sort_unstable();
    let calls = (cluster.store_calls().await - before) as f64;
    println!(
        "{callers} callers with minted keys, 4 hosts: {:.0} keys/s, {:.0} store calls/s, p50 {:?}",
        times.len() as f64 / seconds,
        calls / seconds,
        times[times.len() / 2]
    );
}

/// Measures the resource usage of entry hosts.
#[derive(FromArgs)]
struct Arguments {
    /// only this part: hosts, data_centres, upstreams, customers, jobs, keys or bound
    #[argh(option)]
    only: Option<String>,
}

#[tokio::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    let wanted = |part: &str| arguments.only.as_ref().is_none_or(|only| only == part);
    let one_data_centre = || ClusterSpec::default().data_centres(&["dc-1"]);
    if wanted("hosts") {
        for hosts in [2, 4, 6, 8] {
            measure_idle(
                &format!("{hosts} hosts, one data centre"),
                one_data_centre().hosts_per_centre(hosts),
            )
            .await;
        }
    }
    if wanted("data_centres") {
        let names = ["a", "b", "c", "d", "e", "f"];
        for count in [2, 4, 6] {
            let spec =
                ClusterSpec::default().data_centres(&names[..count]).upstream_slowness(&[1.0]);
            measure_idle(&format!("{count} data centres of 2 hosts"), spec).await;
        }
    }
    if wanted("upstreams") {
        for count in [0, 90, 520] {
            let what = format!("2 hosts, {count} more upstreams listed");
            measure_idle(&what, one_data_centre().listed_nonexistent(count)).await;
        }
    }
    if wanted("customers") {
        for count in [0, 50, 500] {
            measure_idle(
                &format!("2 hosts, {count} more customers"),
                one_data_centre().add_customers(count),
            )
            .await;
        }
    }
    if wanted("jobs") {
        for tasks in [1, 40, 340] {
            measure_task_cost(tasks).await;
        }
    }
    if wanted("bound") {
        measure_full_records().await;
    }
    if wanted("keys") {
        for callers in [1, 16, 128] {
            measure_minted_keys(callers).await;
        }
    }
}
