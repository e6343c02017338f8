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

/// Time for estimates to settle; jobs sent in it are not counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Duration of a burst.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Load during a burst, as a multiple of the usual load.
const BURST_FACTOR: f64 = 5.0;

/// Index in its data centre of the upstream that is faulty under faults of single upstreams.
const FAULTY_UPSTREAM: usize = 2;

/// Customers and keys of the jobs in flight, so that these can be cancelled.
type InFlight = Arc<Mutex<Vec<(usize, String)>>>;

/// An installation inside this process: platform, entry hosts and upstreams.
pub struct Bench {
    arguments: Arguments,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
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
            nodes.push(Node::bind(settings, store, hosts).await.expect("a host can start"));
        }
        let clients =
            (0..CUSTOMERS).map(|n| Client::new(&format!("token-{}", customer_name(n)))).collect();
        let bench = Bench {
            arguments: arguments.clone(),
            callers: nodes.iter().map(|node| node.addresses().callers).collect(),
            operators: nodes.iter().map(|node| node.addresses().operators).collect(),
            nodes,
            upstreams,
            clients,
        };
        bench.wait_ready().await;
        bench
    }

    async fn wait_ready(&self) {
        for operators in &self.operators {
            eventually("a host is ready", || async {
                let client = Client::new("");
                let status: Option<heathertrack_wire::status::Status> =
                    client.get(operators, "/status").await;
                status.is_some_and(|s| s.ready && s.seats > 0 && s.seats <= 20)
            })
            .await;
        }
    }

    pub async fn stop(self) {
        let stopping = self.nodes.into_iter().map(Node::stop);
        let mut set: JoinSet<()> = stopping.collect();
        while set.join_next().await.is_some() {}
    }

    /// Sends jobs for the duration of one run and returns its figures.
    pub async fn run(&self, variant: &str, load: f64) -> Figures {
        let fault = self.arguments.fault;
        let load = if fault == Some(Fault::Overload) { 2.0 } else { load };
        let span = Duration::from_secs_f64(self.arguments.seconds);
        self.clear_faults();
        let mut workload = Workload::new(self.arguments.seed, load, fault);
        let mut jobs = JoinSet::new();
        let in_flight = InFlight::default();
        let began = Instant::now();
        let fault_at = WARM_UP + span / 2;
        let mut next = began;
        let mut before = None;
        let mut faulty = false;
        let mut failing_before = 0;
        loop {
            let now = began.elapsed();
            if now >= WARM_UP + span {
                break;
            }
            if before.is_none() && now >= WARM_UP {
                before = Some(Messages::read(&self.operators[0]).await);
            }
            if !faulty && now >= fault_at && fault.is_some() {
                faulty = true;
                self.inject_fault(&in_flight);
                failing_before = self.starts_at_failing_upstreams();
            }
            let bursting =
                fault.is_some_and(Fault::has_burst) && faulty && now < fault_at + BURST_TIME;
            next += workload.next_interval(if bursting { BURST_FACTOR } else { 1.0 });
            let job = workload.next_job(faulty, self.callers.len());
            tokio::time::sleep_until(next.into()).await;
            let counted = began.elapsed() >= WARM_UP;
            let end = began + WARM_UP + span;
            let after_fault = faulty || fault.is_none();
            jobs.spawn(self.send(job, counted, after_fault, end, in_flight.clone()));
        }
        let outcomes: Vec<Outcome> = jobs.join_all().await;
        let messages = Messages::read(&self.operators[0]).await;
        let messages = messages.since(&before.unwrap_or_default());
        let mut figures = Figures::from_outcomes(
            variant,
            load,
            &outcomes,
            capacity() * span.as_secs_f64(),
            &messages,
        );
        figures.fault = fault.map(|fault| fault.name().to_owned());
        let to_failing = self.starts_at_failing_upstreams() - failing_before;
        let after = outcomes.iter().filter(|job| job.after_fault && job.counted);
        let after: usize = after.map(|job| job.tasks).sum();
        figures.share_to_failing = to_failing as f64 / after.max(1) as f64;
        figures
    }

    /// Sends one job after the client's network latency and returns its outcome.
    fn send(
        &self,
        job: Job,
        counted: bool,
        after_fault: bool,
        end: Instant,
        in_flight: InFlight,
    ) -> impl Future<Output = Outcome> + Send + 'static {
        let client = self.clients[job.customer].clone();
        let host = self.callers[job.host];
        let latency = self.arguments.setup.client_latency();
        let ideal = job.longest + 2 * latency + UPSTREAM_ROUND_TRIP;
        let keyed = self.arguments.fault == Some(Fault::Cancel);
        let span = Duration::from_secs_f64(self.arguments.seconds);
        async move {
            let key = if keyed { Some(format!("{}/1", client.ticket(&host).await)) } else { None };
            if let Some(key) = &key {
                let mut in_flight =
                    in_flight.lock().expect("no thread panics while it holds the keys");
                in_flight.push((job.customer, key.clone()));
            }
            let began = Instant::now();
            precise_timer::sleep(latency).await;
            let answer = client.submit(&host, key.as_deref(), &job.body).await;
            precise_timer::sleep(latency).await;
            if let Some(key) = &key {
                let mut in_flight =
                    in_flight.lock().expect("no thread panics while it holds the keys");
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
                in_time: (Duration::from_nanos(1)..=span).contains(&left),
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

    fn inject_fault(&self, in_flight: &InFlight) {
        let Some(fault) = self.arguments.fault else { return };
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let place = index % UPSTREAMS_PER_CENTRE;
            let usual = upstream_setting(index);
            if fault.has_straggler() && place == FAULTY_UPSTREAM {
                upstream.set(usual.slowness(10.0 * usual.slowness));
            }
            if fault == Fault::Failing && place == FAULTY_UPSTREAM {
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

    fn cancel_half_of_jobs(&self, in_flight: &InFlight) {
        let mut random = StdRng::seed_from_u64(self.arguments.seed);
        let keys = in_flight.lock().expect("no thread panics while it holds the keys").clone();
        for (customer, key) in keys.into_iter().filter(|_| random.random_bool(0.5)) {
            let client = self.clients[customer].clone();
            let host = self.callers[0];
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
