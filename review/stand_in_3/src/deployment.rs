use crate::caller::{self, Job};
use crate::fleet::{Fleet, Machine};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Workers of the sheet, each of 64 cores and 128 GB.
const WORKERS: usize = 48;
const WORKER_CAPACITY: (u64, u64) = (64_000, 131_072);
const ZONES: [&str; 2] = ["suwon", "icheon"];
/// Pause before a client sends a job again (`resend_ms`).
const RESEND_PAUSE: Duration = Duration::from_millis(1_300);

/// Two entry hosts in two zones, the store, and the workers of the site `dongbaek-sched`.
pub struct Deployment {
    pub fleet: Fleet,
    pub fronts: Vec<SocketAddr>,
    pub workers: Vec<Worker>,
    record: Record,
    memory_mb: usize,
    _store: Store,
}

impl Deployment {
    /// Starts all. Returns `None` if a host doesn't become ready, or if it serves no ordinary request.
    pub async fn start(machine: Machine, record: &Record) -> Option<Self> {
        let store = Store::open();
        let machines = [(ZONES[0], machine), (ZONES[1], machine)];
        let mut fleet = Fleet::prepare(&store, &machines, record).await;
        fleet.configure(&store, 1);
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let (id, zone) = (format!("w{index}"), ZONES[index % ZONES.len()]);
            workers.push(Worker::start(&id, zone, WORKER_CAPACITY, record, &store).await);
        }
        if !fleet.start_all().await {
            record.say("a host doesn't become ready");
            return None;
        }
        let fronts = fleet.hosts.iter().map(|host| host.front).collect();
        let record = record.clone();
        let memory_mb = machine.memory_mb;
        let deployment = Deployment { fleet, fronts, workers, record, memory_mb, _store: store };
        let served = deployment.ordinary_requests("before", 4).await;
        (served == 4).then_some(deployment)
    }

    /// Sends ordinary jobs one after the other, half a second apart, at the hosts in turn, and
    /// returns how many were completed. A client sends a job again as the pages say, once.
    pub async fn ordinary_requests(&self, when: &str, count: usize) -> usize {
        let mut served = 0;
        for number in 0..count {
            let job = Job { tasks: 2, work_ms: 200, cpu: 27_000, ..Job::default() };
            let (id, body) = (caller::new_id(), job.body());
            for attempt in 0..2 {
                let front = self.fronts[(number + attempt) % self.fronts.len()];
                let deadline = Duration::from_millis(1_500);
                let answer = caller::send(&self.record, front, "POST", &id, &body, deadline).await;
                if answer.is_completed() {
                    served += 1;
                }
                if answer.is_final() {
                    break;
                }
                sleep(RESEND_PAUSE).await;
            }
            sleep(Duration::from_millis(500)).await;
        }
        self.record.say(format!("ordinary requests {when}: {served} of {count} served"));
        served
    }

    /// Sends one job per client, all at once, at the hosts in turn. A client sends its job again as
    /// the pages say, three times at most. Returns when all clients have left.
    pub async fn crowd(&self, clients: usize, job: Job, deadline: Duration) {
        self.record.say(format!("{clients} clients hand in a job each: {}", job.summary()));
        let mut sent = Vec::new();
        for client in 0..clients {
            let (record, fronts) = (self.record.clone(), self.fronts.clone());
            let (id, body) = (caller::new_id(), job.body());
            sent.push(tokio::spawn(async move {
                for attempt in 0..4 {
                    let front = fronts[(client + attempt) % fronts.len()];
                    let answer = caller::send(&record, front, "POST", &id, &body, deadline).await;
                    if answer.is_final() {
                        return answer;
                    }
                    sleep(RESEND_PAUSE).await;
                }
                caller::Answer::TimedOut
            }));
        }
        let mut completed = 0;
        for client in sent {
            completed += usize::from(client.await.is_ok_and(|answer| answer.is_completed()));
        }
        self.record.say(format!("all {clients} clients have left, {completed} with a result"));
    }

    /// Returns how many hosts went over the memory of their machine, and says how much they took.
    pub fn hosts_over_memory(&self) -> usize {
        let mut over = 0;
        for (index, host) in self.fleet.hosts.iter().enumerate() {
            let Some((peak, _, descriptors)) = self.fleet.usage(index) else { continue };
            let limit = self.memory_mb;
            self.record.say(format!(
                "{}: peak memory {peak} MB of {limit} MB, {descriptors} descriptors now",
                host.name,
            ));
            over += usize::from(peak > limit);
        }
        over
    }

    /// Returns the number of runs that workers have begun so far, and of those that go on.
    pub fn runs(&self) -> (usize, usize) {
        let begun = self.workers.iter().map(|worker| worker.runs().len()).sum();
        (begun, self.workers.iter().map(Worker::running).sum())
    }

    /// Asks one host whether it is ready, as the platform does, for a while, and returns the longest
    /// time without any answer, also one that it isn't.
    pub async fn longest_silence(&self, host: usize, length: Duration) -> Duration {
        let end = Instant::now() + length;
        let (mut last, mut longest) = (Instant::now(), Duration::ZERO);
        while Instant::now() < end {
            if self.fleet.is_answering(host).await {
                last = Instant::now();
            }
            longest = longest.max(last.elapsed());
            sleep(Duration::from_millis(50)).await;
        }
        longest
    }

    /// Returns whether a host's process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let hosts = 0..self.fleet.hosts.len();
        hosts.into_iter().any(|index| self.fleet.has_ended(index))
    }
}
