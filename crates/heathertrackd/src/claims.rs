//! Claims caller-minted keys in the platform's store, many keys per call.

use crate::log::Event;
use crate::metrics;
use crate::state::State;
use heathertrack::home::Clocks;
use heathertrack::membership::rendezvous;
use heathertrack::name::Customer;
use heathertrack::share::TokenBucket;
use heathertrack::ticket::Home;
use heathertrack_platform::{CallError, Store, Swap, SwapResult, Value};
use heathertrack_wire::frame;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use uuid::Uuid;

/// Most keys claimed in one call; the store accepts 128 operations per transaction by default.
const MAX_BATCH: usize = 64;
/// Batches per second of all entry hosts together, well below what the store can handle.
const CALLS_PER_SECOND: f64 = 300.0;
/// Batches that one host may serve in a burst after an idle period.
const BURST: f64 = 10.0;
/// Most queued requests; a request beyond that gets [`Owner::Unknown`] at once.
const MAX_QUEUED: usize = 4_096;
/// Attempts for one batch before its keys are given up.
const MAX_ATTEMPTS: u32 = 3;
/// Delay between two attempts for one batch.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which claims that can't be needed any more are deleted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Handle that queues requests to claim keys or to look up their owners.
#[derive(Clone, Debug)]
pub struct Claims {
    requests: mpsc::Sender<Request>,
}

/// Receiving end of [`Claims`].
#[derive(Debug)]
pub struct Inbox {
    requests: mpsc::Receiver<Request>,
}

/// Process that keeps the record of a minted key, according to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The process that has claimed the key.
    Home(Home),
    /// The store holds no claim of the key.
    Nobody,
    /// The store gave no usable answer. The key may be claimed now, by this process or another one.
    Unknown(String),
}

#[derive(Debug)]
enum Request {
    Claim { key: String, answer: oneshot::Sender<Owner> },
    LookUp { prefix: String, answer: oneshot::Sender<Owner> },
}

impl Claims {
    /// Creates a handle and the inbox that [`spawn`] serves.
    pub fn new() -> (Self, Inbox) {
        let (sender, requests) = mpsc::channel(MAX_QUEUED);
        (Claims { requests: sender }, Inbox { requests })
    }

    /// Claims a key for this process unless it is claimed already. Returns its owner.
    pub async fn claim(&self, state: &State, customer: &Customer, uuid: &Uuid) -> Owner {
        let key = format!("{}{uuid}/{customer}", prefix(state));
        self.ask(|answer| Request::Claim { key, answer }).await
    }

    /// Returns the owner of a key without claiming it.
    pub async fn look_up(&self, state: &State, customer: &Customer, uuid: &Uuid) -> Owner {
        let prefix = format!("{}{uuid}/{customer}", prefix(state));
        self.ask(|answer| Request::LookUp { prefix, answer }).await
    }

    /// Returns the owner of a key of any customer without claiming it.
    pub async fn look_up_any(&self, state: &State, uuid: &Uuid) -> Owner {
        let prefix = format!("{}{uuid}/", prefix(state));
        self.ask(|answer| Request::LookUp { prefix, answer }).await
    }

    async fn ask(&self, request: impl FnOnce(oneshot::Sender<Owner>) -> Request) -> Owner {
        let (answer, owner) = oneshot::channel();
        if self.requests.try_send(request(answer)).is_err() {
            return Owner::Unknown("too many keys wait to be claimed".to_owned());
        }
        owner.await.unwrap_or_else(|_| Owner::Unknown("the claims have ended".to_owned()))
    }
}

fn prefix(state: &State) -> String {
    format!("{}/claims/", state.settings.platform.prefix)
}

/// Starts the loop that claims keys and the one that deletes old claims.
pub fn spawn(state: &Arc<State>, store: impl Store, inbox: Inbox) {
    tokio::spawn(serve(state.clone(), store.clone(), inbox));
    tokio::spawn(sweep(state.clone(), store));
}

async fn serve(state: Arc<State>, store: impl Store, mut inbox: Inbox) {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    let mut batch_limit = TokenBucket::new(state.now());
    // Requests that arrive while a batch is served or delayed by the rate limit form the next one.
    // The claims of a batch share one call; each look-up takes a call of its own.
    while inbox.requests.recv_many(&mut batch, MAX_BATCH).await > 0 {
        wait_for_rate(&state, &mut batch_limit).await;
        fill_batch(&mut batch, &mut inbox);
        let mut claims: BTreeMap<String, Vec<oneshot::Sender<Owner>>> = BTreeMap::new();
        for request in batch.drain(..) {
            match request {
                Request::Claim { key, answer } => claims.entry(key).or_default().push(answer),
                Request::LookUp { prefix, answer } => {
                    let _ = answer.send(look_up(&store, &prefix).await);
                }
            }
        }
        if !claims.is_empty() {
            claim(&state, &store, claims).await;
        }
    }
}

/// Waits until the rate limit permits this host another batch.
async fn wait_for_rate(state: &State, batch_limit: &mut TokenBucket) {
    let hosts = state.view().peers().count() + 1;
    let rate = CALLS_PER_SECOND / hosts as f64;
    batch_limit.configure(rate, BURST, state.now());
    while !batch_limit.take(state.now()) {
        // Half the time in which the rate permits one more batch.
        state.timer.wait(Duration::from_secs_f64(0.5 / rate)).await;
    }
}

/// Adds the requests that have arrived meanwhile to the batch.
fn fill_batch(batch: &mut Vec<Request>, inbox: &mut Inbox) {
    while batch.len() < MAX_BATCH {
        match inbox.requests.try_recv() {
            Ok(request) => batch.push(request),
            Err(_) => return,
        }
    }
}

async fn claim(
    state: &State,
    store: &impl Store,
    claims: BTreeMap<String, Vec<oneshot::Sender<Owner>>>,
) {
    let keys: Vec<String> = claims.keys().cloned().collect();
    let swapped = claim_with_retries(state, store, &keys).await;
    for (index, answers) in claims.into_values().enumerate() {
        let owner = match &swapped {
            Ok(swapped) => {
                swapped.get(index).map_or_else(no_answer, |result| owner_from_swap(state, result))
            }
            Err(error) => Owner::Unknown(error.to_string()),
        };
        for answer in answers {
            let _ = answer.send(owner.clone());
        }
    }
}

/// Claims keys in one call, which is retried if it fails. If the answer to a call that took effect
/// was lost, the retry returns a conflict that names this process.
async fn claim_with_retries(
    state: &State,
    store: &impl Store,
    keys: &[String],
) -> Result<Vec<SwapResult>, CallError> {
    let value = serde_json::to_vec(&frame::Home::from(&state.home)).unwrap_or_default();
    let mut last_error = CallError::Unreachable("not tried".to_owned());
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            state.timer.wait(RETRY_DELAY).await;
        }
        // Revision 0: the claim must not exist yet.
        let new_claim = |key: &String| Swap { key: key.clone(), expected: 0, value: value.clone() };
        metrics::platform_call("claims");
        match store.swap(keys.iter().map(new_claim).collect()).await {
            Ok(swapped) => return Ok(swapped),
            Err(error) => {
                metrics::platform_fault("claims");
                state.log.write(&Event::PlatformFault("claims", error.to_string()));
                last_error = error;
            }
        }
    }
    Err(last_error)
}

fn no_answer() -> Owner {
    Owner::Unknown("the store did not answer for this key".to_owned())
}

fn owner_from_swap(state: &State, result: &SwapResult) -> Owner {
    match result {
        SwapResult::Applied(_) => Owner::Home(state.home.clone()),
        SwapResult::Conflict(Some(value)) => parse_owner(value),
        // The claim existed when it was compared but not when it was read: it was swept meanwhile
        // because of its age.
        SwapResult::Conflict(None) => Owner::Unknown("the claim is gone".to_owned()),
    }
}

fn parse_owner(value: &Value) -> Owner {
    match serde_json::from_slice::<frame::Home>(&value.data) {
        Ok(home) => Owner::Home(Home::from(&home)),
        Err(error) => Owner::Unknown(format!("the claim cannot be read: {error}")),
    }
}

async fn look_up(store: &impl Store, prefix: &str) -> Owner {
    metrics::platform_call("claims");
    match store.list(prefix).await {
        Ok(values) => values.first().map_or(Owner::Nobody, parse_owner),
        Err(error) => Owner::Unknown(error.to_string()),
    }
}

/// Periodically deletes the claims of keys that are too old for any host to accept. One host of the
/// data centre does so. Claims sort by the time at which their keys were minted, so the old ones
/// form a range.
async fn sweep(state: Arc<State>, store: impl Store) {
    let mut ticks = state.timer.every(SWEEP_INTERVAL);
    while ticks.next().await.is_some() && !state.shutdown.is_cancelled() {
        let wall_ms = state.clock.wall_ms();
        let hosts = state.view().accepting_hosts(state.now());
        let holds_role = rendezvous("claims", &hosts) == Some(&state.home.host);
        if !holds_role || !state.submissions().clocks_agree(Clocks { now: state.now(), wall_ms }) {
            continue;
        }
        let ttl = state.settings.limits.minted.claim_ttl();
        let oldest_ms = wall_ms.saturating_sub(u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX));
        let first = prefix(&state);
        let end = format!("{first}{}", uuid_start(oldest_ms));
        metrics::platform_call("sweep");
        if let Err(error) = store.delete(&first, &end).await {
            metrics::platform_fault("sweep");
            state.log.write(&Event::PlatformFault("sweep", error.to_string()));
        }
    }
}

/// Returns the first 12 hexadecimal digits of a UUIDv7 minted at this time; they are the time.
fn uuid_start(unix_ms: u64) -> String {
    format!("{:08x}-{:04x}", unix_ms >> 16 & 0xffff_ffff, unix_ms & 0xffff)
}
