use crate::arguments::Arguments;
use crate::fault::Fault;
use crate::figures::{Figures, Outcome};
use crate::installation::{
    UPSTREAMS_PER_RACK, customer_name, host_entry, host_settings, publish_lists, start_upstreams,
    upstream_setting,
};
use crate::messages::Messages;
use crate::setup::{
    DATA_CENTRES, HOSTS_PER_CENTRE, UPSTREAM_ROUND_TRIP, UPSTREAMS_PER_CENTRE, capacity,
};
use crate::workload::{CUSTOMERS, Job, Workload};
use heathertrack_platform::{Etcd, HttpHostList};
use heathertrack_testkit::client::Client;
use heathertrack_testkit::fixture::{eventually, free_address};
use heathertrack_testkit::platform::Platform;
use heathertrack_testkit::precise_timer;
use heathertrack_testkit::upstream::{Mode, Upstream};
use heathertrackd::{BaselinePolicy, Node, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time at the start of a run in which the hosts learn estimates; jobs sent in it are not counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Duration of a burst, from the injection of the fault on.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Load during a burst, as a multiple of the usual load.
const BURST_FACTOR: f64 = 5.0;
/// Offered load under [`Fault::Overload`], as a multiple of the capacity.
const OVERLOAD: f64 = 2.0;
/// Factor by which a straggler becomes slower.
const STRAGGLER_FACTOR: f64 = 10.0;
/// Maximum number of seats of a host that is ready: twice an even share of the 60 seats between the
/// six hosts.
const MAX_SEATS: usize = 20;

/// Index in its data centre of the upstream that is faulty under faults of single upstreams.
const FAULTY_UPSTREAM: usize = 2;

/// Customers and keys of the jobs in flight, so that these can be cancelled.
type InFlight = Arc<Mutex<Vec<(usize, String)>>>;

/// An installation inside this process: platform, entry hosts and upstreams.
pub struct Bench {
    arguments: Arguments,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    /// Addresses for callers, by host.
    caller_addresses: Vec<SocketAddr>,
    /// Addresses for operators, by host.
    operator_addresses: Vec<SocketAddr>,
    /// Clients by customer.
    clients: Vec<Client>,
}

impl Bench {
    pub async fn start(arguments: &Arguments, baseline: Option<BaselinePolicy>) -> Self {
        let platform = free_address();
        tokio::spawn(Platform::default().serve(platform));
        let mut listed = Vec::new();
        let upstreams = start_upstreams(arguments.setup, &mut listed).await;
        let settings: Vec<Settings> = (0..DATA_CENTRES * HOSTS_PER_CENTRE)
            .map(|index| host_settings(index, platform, arguments.setup, baseline))
            .collect();
        listed.extend(settings.iter().map(host_entry));
        publish_lists(platform, &listed).await;
        let mut nodes = Vec::new();
        for settings in settings {
            let store = Etcd::new(settings.platform.store.clone());
            let hosts = HttpHostList::new(settings.platform.host_list.clone());
            nodes.push(
                Node::bind(settings, store, hosts)
                    .await
                    .expect("binding the listeners of a host succeeds"),
            );
        }
        let clients =
            (0..CUSTOMERS).map(|n| Client::new(&format!("token-{}", customer_name(n)))).collect();
        let bench = Bench {
            arguments: arguments.clone(),
            caller_addresses: nodes.iter().map(|node| node.addresses().callers).collect(),
            operator_addresses: nodes.iter().map(|node| node.addresses().operators).collect(),
            nodes,
            upstreams,
            clients,
        };
        bench.wait_ready().await;
        bench
    }

    async fn wait_ready(&self) {
        for address in &self.operator_addresses {
            eventually("a host is ready", || async {
                let client = Client::new("");
                let status: Option<heathertrack_wire::status::Status> =
                    client.get(address, "/status").await;
                status.is_some_and(|s| s.ready && s.seats > 0 && s.seats <= MAX_SEATS)
            })
            .await;
        }
    }

    pub async fn stop(self) {
        let stopping = self.nodes.into_iter().map(Node::stop);
        let mut set: JoinSet<()> = stopping.collect();
        while set.join_next().await.is_some() {}
    }

    /// Sends jobs for the duration of one run and returns its figures. All hosts share the counters
    /// of this process, so the messages of all are read from the first host.
    pub async fn run(&self, variant: &str, load: f64) -> Figures {
        let fault = self.arguments.fault;
        let load = if fault == Some(Fault::Overload) { OVERLOAD } else { load };
        let span = Duration::from_secs_f64(self.arguments.seconds);
        self.clear_faults();
        let mut workload = Workload::new(self.arguments.seed, load, fault);
        let mut jobs = JoinSet::new();
        let in_flight = InFlight::default();
        let began = Instant::now();
        let fault_at = WARM_UP + span / 2;
        let mut next = began;
        let mut messages_at_start = None;
        let mut fault_begun = false;
        let mut failing_starts_before = 0;
        loop {
            let now = began.elapsed();
            if now >= WARM_UP + span {
                break;
            }
            if messages_at_start.is_none() && now >= WARM_UP {
                messages_at_start = Some(Messages::read(&self.operator_addresses[0]).await);
            }
            if !fault_begun && now >= fault_at && fault.is_some() {
                fault_begun = true;
                self.inject_fault(&in_flight);
                failing_starts_before = self.starts_at_failing_upstreams();
            }
            let bursting =
                fault.is_some_and(Fault::has_burst) && fault_begun && now < fault_at + BURST_TIME;
            next += workload.next_interval(if bursting { BURST_FACTOR } else { 1.0 });
            let job = workload.next_job(fault_begun, self.caller_addresses.len());
            tokio::time::sleep_until(next.into()).await;
            let counted = began.elapsed() >= WARM_UP;
            let end = began + WARM_UP + span;
            let after_fault = fault_begun || fault.is_none();
            jobs.spawn(self.send(job, counted, after_fault, end, in_flight.clone()));
        }
        let outcomes: Vec<Outcome> = jobs.join_all().await;
        let messages = Messages::read(&self.operator_addresses[0]).await;
        let messages = messages.since(&messages_at_start.unwrap_or_default());
        let mut figures = Figures::from_outcomes(
            variant,
            load,
            &outcomes,
            capacity() * span.as_secs_f64(),
            &messages,
        );
        figures.fault = fault.map(|fault| fault.name().to_owned());
        let starts_at_failing = self.starts_at_failing_upstreams() - failing_starts_before;
        let after_fault = outcomes.iter().filter(|job| job.after_fault && job.counted);
        let tasks_after_fault: usize = after_fault.map(|job| job.tasks).sum();
        figures.share_to_failing = starts_at_failing as f64 / tasks_after_fault.max(1) as f64;
        figures
    }

    /// Sends one job, with the client's network latency each way, and returns its outcome. `end` is
    /// the end of the measured time.
    fn send(
        &self,
        job: Job,
        counted: bool,
        after_fault: bool,
        end: Instant,
        in_flight: InFlight,
    ) -> impl Future<Output = Outcome> + Send + 'static {
        let client = self.clients[job.customer].clone();
        let host = self.caller_addresses[job.host];
        let latency = self.arguments.setup.client_latency();
        let ideal = job.longest + 2 * latency + UPSTREAM_ROUND_TRIP;
        let keyed = self.arguments.fault == Some(Fault::Cancel);
        let span = Duration::from_secs_f64(self.arguments.seconds);
        async move {
            // Only a job with a key, the first of a ticket, can be cancelled.
            let key = if keyed { Some(format!("{}/1", client.ticket(&host).await)) } else { None };
            if let Some(key) = &key {
                let mut in_flight =
                    in_flight.lock().expect("no thread panics while it holds the lock of the keys");
                in_flight.push((job.customer, key.clone()));
            }
            let began = Instant::now();
            precise_timer::sleep(latency).await;
            let answer = client.submit(&host, key.as_deref(), &job.body).await;
            precise_timer::sleep(latency).await;
            if let Some(key) = &key {
                let mut in_flight =
                    in_flight.lock().expect("no thread panics while it holds the lock of the keys");
                in_flight.retain(|(_, other)| other != key);
            }
            let left = end.saturating_duration_since(Instant::now());
            Outcome {
                customer: job.customer,
                tasks: job.tasks,
                status: answer.status,
                not_run: answer.says_not_run(),
                elapsed: began.elapsed(),
                ideal,
                work: job.work,
                counted,
                // The measured time is the last `span` before `end`.
                answered_in_window: (Duration::from_nanos(1)..=span).contains(&left),
                after_fault,
            }
        }
    }

    /// Restores the usual behaviour of all upstreams.
    fn clear_faults(&self) {
        for (index, upstream) in self.upstreams.iter().enumerate() {
            upstream.set(upstream_setting(index));
        }
    }

    /// Makes upstreams misbehave or cancels jobs. Faults of the workload are injected by
    /// [`Workload::next_job`] and by the rate of jobs.
    fn inject_fault(&self, in_flight: &InFlight) {
        let Some(fault) = self.arguments.fault else { return };
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let index_in_centre = index % UPSTREAMS_PER_CENTRE;
            let usual = upstream_setting(index);
            if fault.has_straggler() && index_in_centre == FAULTY_UPSTREAM {
                upstream.set(usual.slowness(STRAGGLER_FACTOR * usual.slowness));
            }
            if fault == Fault::Failing && index_in_centre == FAULTY_UPSTREAM {
                upstream.set(usual.mode(Mode::Fail));
            }
            if fault == Fault::Rack && index < UPSTREAMS_PER_RACK {
                upstream.set(usual.mode(Mode::DropConnection));
            }
        }
        if fault == Fault::Cancel {
            self.cancel_half_of_jobs(in_flight);
        }
    }

    /// Cancels each job in flight with a probability of one half.
    fn cancel_half_of_jobs(&self, in_flight: &InFlight) {
        let mut random = StdRng::seed_from_u64(self.arguments.seed);
        let keys =
            in_flight.lock().expect("no thread panics while it holds the lock of the keys").clone();
        for (customer, key) in keys.into_iter().filter(|_| random.random_bool(0.5)) {
            let client = self.clients[customer].clone();
            let host = self.caller_addresses[0];
            tokio::spawn(async move { client.cancel(&host, &key).await });
        }
    }

    /// Counts the task starts at the upstreams that [`Fault::Failing`] affects.
    fn starts_at_failing_upstreams(&self) -> usize {
        let failing = |index: usize| index % UPSTREAMS_PER_CENTRE == FAULTY_UPSTREAM;
        let all = self.upstreams.iter().enumerate().filter(|(index, _)| failing(*index));
        all.map(|(_, upstream)| upstream.starts().len()).sum()
    }
}
