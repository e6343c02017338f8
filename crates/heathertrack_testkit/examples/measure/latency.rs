use crate::figures::{percentile, sorted};
use heathertrack_testkit::client::Client;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of requests that are timed one after another.
const REQUESTS: usize = 1_500;
/// Concurrent callers when the starts per second are counted.
const CALLERS: usize = 48;
/// Duration for which these callers send.
const THROUGHPUT_TIME: Duration = Duration::from_secs(3);
/// Number of tasks in each of their jobs.
const TASKS_PER_JOB: usize = 40;
/// Allowance of tasks at once that the measurement does not reach.
const AMPLE_TASKS_AT_ONCE: u32 = 100_000;
/// Allowance of starts per second that the measurement does not reach.
const AMPLE_STARTS_PER_SECOND: f64 = 900_000.0;

/// Latency that one host in its own process adds to a request, and its throughput.
#[derive(Debug, Serialize, Deserialize)]
pub struct Latency {
    /// Median time of a request from the caller to an upstream.
    pub direct_us_p50: f64,
    /// Median time of a job of one task through the host.
    pub through_us_p50: f64,
    /// Difference of the two medians.
    pub added_us_p50: f64,
    /// Starts per second through one host with four threads.
    pub starts_per_second: f64,
}

pub async fn measure() -> Latency {
    // Eight upstreams at nominal speed. `wholesale` is the plan of `pirita-souvenirs`.
    let spec = ClusterSpec::default()
        .data_centres(&["dc-1"])
        .hosts_per_centre(1)
        .upstream_slowness(&[1.0; 8])
        .limit("threads", 4)
        .allowance("wholesale", AMPLE_TASKS_AT_ONCE, AMPLE_STARTS_PER_SECOND);
    let cluster = Cluster::start(spec).await;
    let caller = cluster.caller("pirita-souvenirs");
    let host = cluster.hosts[0].caller_address;
    let job = cluster.job(1, 0);
    let direct =
        median_request_us(&caller, &cluster.upstreams[0].address, "/run", "{\"us\":0}").await;
    let through = median_request_us(&caller, &host, "/v1/jobs", &job).await;
    let starts_per_second = starts_per_second(&cluster, host).await;
    Latency {
        direct_us_p50: direct,
        through_us_p50: through,
        added_us_p50: through - direct,
        starts_per_second,
    }
}

/// Returns the median time of a request, in microseconds.
async fn median_request_us(client: &Client, address: &SocketAddr, path: &str, body: &str) -> f64 {
    let mut times = Vec::with_capacity(REQUESTS);
    for _ in 0..REQUESTS {
        let began = Instant::now();
        client.call(hyper::Method::POST, address, path, None, body).await;
        times.push(began.elapsed().as_secs_f64() * 1e6);
    }
    percentile(&sorted(times), 0.5)
}

/// Returns the task starts per second while [`CALLERS`] callers send jobs of tasks without work.
/// Counts the tasks of the jobs that are answered with status 200.
async fn starts_per_second(cluster: &Cluster, host: SocketAddr) -> f64 {
    let job = cluster.job(TASKS_PER_JOB, 0);
    let mut callers = JoinSet::new();
    let began = Instant::now();
    for _ in 0..CALLERS {
        let (caller, job) = (cluster.caller("pirita-souvenirs"), job.clone());
        callers.spawn(async move {
            let mut done = 0;
            while began.elapsed() < THROUGHPUT_TIME {
                let answer = caller.submit(&host, None, &job).await;
                done += usize::from(answer.status == 200);
            }
            done
        });
    }
    let done: usize = callers.join_all().await.into_iter().sum();
    (done * TASKS_PER_JOB) as f64 / began.elapsed().as_secs_f64()
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "one request: direct p50 {:.0} us, through a host {:.0} us, added {:.0} us; \
             {:.0} starts/s through one host of four threads",
            self.direct_us_p50, self.through_us_p50, self.added_us_p50, self.starts_per_second,
        )
    }
}
