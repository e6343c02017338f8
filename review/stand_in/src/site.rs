//! A small deployment on loopback: store, minions, entry hosts, the platform's balancer and clients.

use crate::host::{Addresses, Host};
use crate::http::{Answer, call};
use crate::minion::Minion;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
const HOSTS_PER_ZONE: usize = 2;
pub const HOSTS: usize = ZONES.len() * HOSTS_PER_ZONE;
pub const MINIONS_PER_ZONE: usize = 6;
pub const HOST_HEADER: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// Pause of a client before it sends a job again (`resend_ms`).
pub const RESEND: Duration = Duration::from_millis(1_300);
/// Period of the balancer's checks, and number of misses that take a host out of rotation.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
const MAX_MISSES: u32 = 2;
/// Time within which all hosts have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Site {
    pub hosts: Vec<Host>,
    pub minions: Vec<Arc<Minion>>,
    pub record: Record,
    /// Misses of the balancer's checks in a row, by host.
    misses: Vec<Mutex<u32>>,
    random: AtomicU64,
    stopped: AtomicBool,
    directory: PathBuf,
    /// Relays between the spare host and each other host, in both directions.
    relays: Vec<Arc<Relay>>,
}

impl Site {
    /// Starts a deployment and waits until it serves; `None` if it does not.
    pub fn start(record: &Record) -> Option<Arc<Site>> {
        Self::start_with(record, 0)
    }

    /// The same with a spare host in the first zone, with the index [`HOSTS`]. It is not started,
    /// and its links to the other hosts pass through relays.
    pub fn start_with_spare(record: &Record) -> Option<Arc<Site>> {
        Self::start_with(record, 1)
    }

    fn start_with(record: &Record, spares: usize) -> Option<Arc<Site>> {
        let count = HOSTS + spares;
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |at| at.as_nanos() as u64);
        let seed = seed ^ (u64::from(std::process::id()) << 40) | 1;
        let directory = std::env::temp_dir().join(format!("review-{seed:x}"));
        std::fs::create_dir_all(&directory).ok()?;
        // A part of the loopback range of its own, so that the port of the metrics is free.
        let net = (seed >> 8) as u16 | 1;
        let ip = |last: u8| Ipv4Addr::new(127, (net >> 8) as u8 | 64, net as u8, last);
        let bind = |ip: Ipv4Addr| TcpListener::bind((ip, 0)).expect("a loopback address is free");

        let store = Store::default();
        store.spawn_expiry();
        let mut minions = Vec::new();
        for (zone_index, zone) in ZONES.iter().enumerate() {
            for index in 0..MINIONS_PER_ZONE {
                let id = format!("i-{zone_index}{index}{:04x}", seed as u16);
                let ip = ip(100 + (zone_index * MINIONS_PER_ZONE + index) as u8);
                let listeners = (0..count).map(|_| bind(ip)).collect();
                let rack = format!("r{zone_index}-1");
                minions.push(Minion::start(&id, zone, &rack, listeners, &store, record));
            }
        }
        store.put("op/config", &configuration());

        let places: Vec<(&str, Addresses)> = (0..count)
            .map(|index| {
                let ip = ip(10 + index as u8);
                let free = || bind(ip).local_addr().expect("a listener has an address");
                let (front, ready, control) = (free(), free(), free());
                (ZONES[index / HOSTS_PER_ZONE % ZONES.len()], Addresses { ip, front, ready, control })
            })
            .collect();
        let controls: Vec<SocketAddr> = places.iter().map(|(_, place)| place.control).collect();
        let seeds: Vec<SocketAddr> =
            controls[..HOSTS].iter().step_by(HOSTS_PER_ZONE).copied().collect();
        let mut relays = Vec::new();
        let mut spare_seeds = Vec::new();
        for spare in HOSTS..count {
            for other in 0..HOSTS {
                let to_other = Relay::start(ip(2), controls[other]);
                let to_spare = Relay::start(ip(2), controls[spare]);
                store.set_route(spare, controls[other], to_other.address);
                store.set_route(other, controls[spare], to_spare.address);
                if seeds.contains(&controls[other]) {
                    spare_seeds.push(to_other.address);
                }
                relays.extend([to_other, to_spare]);
            }
        }
        let hosts: Vec<Host> = places
            .iter()
            .enumerate()
            .map(|(index, (zone, addresses))| {
                let is_spare = index >= HOSTS;
                let number = if is_spare { index - HOSTS + 3 } else { index % HOSTS_PER_ZONE + 1 };
                let name = format!("edge-{zone}-{number}");
                let seeds = if is_spare { &spare_seeds } else { &seeds };
                let listener = bind(ip(1));
                let store_address = listener.local_addr().expect("a listener has an address");
                store.serve(listener, index);
                Host::prepare(&name, zone, &ZONES, addresses, seeds, store_address, &directory)
            })
            .collect();
        let misses = hosts.iter().map(|_| Mutex::new(MAX_MISSES)).collect();
        let site = Arc::new(Site {
            hosts,
            minions,
            record: record.clone(),
            misses,
            random: AtomicU64::new(seed),
            stopped: AtomicBool::new(false),
            directory,
            relays,
        });
        for host in &site.hosts[..HOSTS] {
            host.start().ok()?;
        }
        for index in 0..site.hosts.len() {
            let site = site.clone();
            thread::spawn(move || site.check(index));
        }
        let end = Instant::now() + START_TIMEOUT;
        while (0..HOSTS).any(|index| !site.in_rotation(index)) {
            if Instant::now() > end {
                record.note("the hosts did not become ready");
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(3));
        record.note("all hosts are ready");
        Some(site)
    }

    /// Checks a host's readiness as the platform does.
    fn check(&self, index: usize) {
        while !self.stopped.load(Ordering::Relaxed) {
            let ready = self.hosts[index].is_ready();
            let mut misses = self.misses[index].lock().unwrap();
            *misses = if ready { 0 } else { *misses + 1 };
            drop(misses);
            thread::sleep(CHECK_PERIOD);
        }
    }

    pub fn in_rotation(&self, index: usize) -> bool {
        *self.misses[index].lock().unwrap() < MAX_MISSES
    }

    /// Cuts or restores the links between the spare host and the other hosts.
    pub fn set_spare_cut(&self, cut: bool) {
        self.relays.iter().for_each(|relay| relay.set_cut(cut));
    }

    /// Returns a number below `limit`.
    pub fn draw(&self, limit: usize) -> usize {
        let mut word = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((word ^ (word >> 31)) % limit as u64) as usize
    }

    /// Returns the host to which the balancer forwards a new connection of a client: one of its
    /// zone, or another one than `not` for a retry.
    pub fn forward(&self, zone: &str, not: Option<usize>) -> usize {
        let of_zone = |index: &usize| self.hosts[*index].zone == zone && Some(*index) != not;
        let all: Vec<usize> = (0..self.hosts.len()).filter(of_zone).collect();
        let mut usable: Vec<usize> = all.iter().copied().filter(|index| self.in_rotation(*index)).collect();
        if usable.len() * 2 < all.len() || usable.is_empty() {
            usable = all;
        }
        usable[self.draw(usable.len())]
    }

    /// Draws an identifier of a job.
    pub fn new_id(&self) -> String {
        format!("{:08x}{:08x}", self.draw(1 << 32), self.draw(1 << 32))
    }

    /// Sends a job to a host and waits for the answer, at most as long as its deadline.
    pub fn submit(&self, host: usize, id: &str, body: &str, deadline: Duration) -> Answer {
        self.record.note(&format!("job sent    {id} to {}", self.hosts[host].name));
        let headers = format!("host: {HOST_HEADER}\r\nx-deadline-ms: {}\r\n", deadline.as_millis());
        let path = format!("{PREFIX}{id}");
        let answer = call(self.hosts[host].front, "POST", &path, &headers, body, deadline);
        self.record.note(&format!("job answer  {id} from {}: {answer:?}", self.hosts[host].name));
        answer
    }

    /// Cancels a job at a host.
    pub fn cancel(&self, host: usize, id: &str) -> Answer {
        self.record.note(&format!("cancel sent {id} to {}", self.hosts[host].name));
        let headers = format!("host: {HOST_HEADER}\r\n");
        let path = format!("{PREFIX}{id}");
        let timeout = Duration::from_secs(4);
        let answer = call(self.hosts[host].front, "DELETE", &path, &headers, "", timeout);
        self.record.note(&format!("cancelled   {id} by {}: {answer:?}", self.hosts[host].name));
        answer
    }

    /// Sends a job as a client does whose connection the balancer forwards to `host`: after no
    /// response, a broken connection, 502 or 504 it is sent again, to another host of the zone.
    pub fn run_job(
        &self,
        mut host: usize,
        id: &str,
        body: &str,
        deadline: Duration,
        attempts: u32,
    ) -> Answer {
        let zone = &self.hosts[host].zone;
        let mut answer = self.submit(host, id, body, deadline);
        for _ in 1..attempts {
            if answer.status().is_some_and(|status| status != 502 && status != 504) {
                break;
            }
            thread::sleep(RESEND);
            host = self.forward(zone, Some(host));
            answer = self.submit(host, id, body, deadline);
        }
        answer
    }

    /// Returns the host of a zone that calls the zone's minions: the one whose metrics show cores.
    pub fn dispatcher(&self, zone: &str) -> Option<usize> {
        let of_zone = (0..self.hosts.len()).filter(|index| self.hosts[*index].zone == zone);
        of_zone.max_by_key(|index| self.hosts[*index].gauge("heathertrack_cores").unwrap_or(0.0) as u64)
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for host in &self.hosts {
            host.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("logs: {}", self.directory.display());
        }
    }
}

/// Returns the body of a job of one step. Its tasks need 6.8 of a minion's 16 cores each, and each
/// runs on a minion of its own.
pub fn job(tasks: u32, work_ms: u64) -> String {
    job_with_cpu(tasks, work_ms, 6_800)
}

/// The same with tasks that need `cpu` thousandths of a core each.
pub fn job_with_cpu(tasks: u32, work_ms: u64, cpu: u32) -> String {
    format!(
        "{{\"spec\":\"work_ms={work_ms} cpu={cpu}\",\"best_effort\":true,\"steps\":[\
         {{\"count\":{tasks},\"cpu\":{cpu},\"mem_mb\":64,\"estimate_ms\":{work_ms},\
         \"max_per_server\":1}}]}}"
    )
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"quote\",\"host\":\"{HOST_HEADER}\",\
         \"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":20000,\
         \"target_latency_ms\":60,\"priority\":0,\"service\":\"desk\",\"max_attempts\":2,\
         \"stretch\":1.6}}],\"services\":[{{\"name\":\"desk\",\"admission_check\":true}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns the body of a job of two steps with one task each, the second of which follows the first.
pub fn job_of_two_steps(first_ms: u64, second_ms: u64) -> String {
    format!(
        "{{\"spec\":\"work0_ms={first_ms} work1_ms={second_ms} cpu=6800\",\"best_effort\":true,\
         \"steps\":[{{\"count\":1,\"cpu\":6800,\"mem_mb\":64,\"estimate_ms\":{first_ms}}},\
         {{\"count\":1,\"cpu\":6800,\"mem_mb\":64,\"estimate_ms\":{second_ms},\"after\":[0]}}]}}"
    )
}
