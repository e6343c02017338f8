//! Who renews the lease of an upstream on which runs of several hosts are, and what a dispatcher
//! concludes from time that has passed.

use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::job::{Id, Needs, Outcome, Request, Step};
use heathertrack::pool::upstream::Record;
use heathertrack::pool::{
    Effect, EndedRun, Listing, Options, PollFailure, Pool, Roster, RunEnd, RunKey, RunningRun,
    StartAnswer, Task, UpstreamKey,
};
use std::time::Duration;

/// CPU of a task, in thousandths of a core. Two such tasks fit on an upstream.
const TASK_CPU: u32 = 6_800;
/// Unix time at which the process of the upstream started, in milliseconds.
const UPSTREAM_STARTED_MS: u64 = 1;
/// The dispatcher under test owns the upstream.
const OWNED: bool = true;
/// The lost host owned upstreams.
const DISPATCHED: bool = true;
/// The upstream has confirmed a stop.
const CONFIRMED: bool = true;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn record(name: &str) -> Record {
    Record {
        name: Upstream::new(name),
        address: "10.0.0.1:80".into(),
        service: "service".into(),
        data_centre: DataCentre::new("a"),
        capacity: Needs { cpu: 16_000, memory: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
        started_ms: Some(UPSTREAM_STARTED_MS),
    }
}

/// Returns a job of one task that lasts seconds, received at 100 ms.
fn job(id: &str) -> Request {
    let needs = Needs { cpu: TASK_CPU, memory: 1, accelerators: 0 };
    let estimate = Duration::from_secs(4);
    Request {
        id: Id::new(id),
        spec: "".into(),
        class: "class".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 2,
        steps: vec![Step { count: 1, needs, estimate, ..Step::default() }],
        received: at(100),
        objective: Duration::from_secs(10),
        deadline: at(15_000),
    }
}

/// Returns the list of an upstream whose clock shows the dispatcher's time.
fn list(running: &[RunningRun], ms: u64) -> Listing {
    Listing {
        clock_ms: ms,
        started_ms: UPSTREAM_STARTED_MS,
        running: running.to_vec(),
        ended: Vec::new(),
    }
}

/// Returns a run that another host has started.
fn foreign_run(job: &str) -> RunningRun {
    let task = Task { job: Id::new(job), occurrence: 0, step: 0, index: 0 };
    RunningRun { task, number: 1, percent: 1 }
}

fn roster(upstream: &str, runs: &[RunningRun]) -> Roster {
    let runs = runs.iter().map(|run| (run.task.clone(), run.number)).collect();
    Roster { upstream: Upstream::new(upstream), runs }
}

fn polls(effects: &[Effect]) -> Vec<UpstreamKey> {
    let poll = |effect: &Effect| match effect {
        Effect::Poll { upstream, .. } => Some(*upstream),
        _ => None,
    };
    effects.iter().filter_map(poll).collect()
}

fn starts(effects: &[Effect]) -> Vec<(UpstreamKey, RunKey, RunningRun)> {
    let start = |effect: &Effect| match effect {
        Effect::Start { upstream, run, task, number, .. } => {
            let row = RunningRun { task: task.clone(), number: *number, percent: 1 };
            Some((*upstream, *run, row))
        }
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Returns whether any poll or start moves the end of a lease.
fn renews(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Poll { lease_end_ms: Some(_), .. } | Effect::Start { .. })
    })
}

/// Returns a dispatcher that owns idle upstreams of these names.
fn pool(names: &[&str]) -> Pool {
    let mut pool = Pool::new(Options::default());
    for name in names {
        pool.update_upstream(record(name), OWNED, at(90));
    }
    for key in polls(&pool.take_effects()) {
        pool.on_poll_answer(key, &list(&[], 90), at(90), at(91));
    }
    pool.take_effects();
    pool
}

/// A dispatcher with one run.
struct Fixture {
    pool: Pool,
    upstream: UpstreamKey,
    run: RunKey,
    /// The run as its upstream lists it.
    row: RunningRun,
}

/// Returns a dispatcher of upstreams of these names with a job of one task, which runs on one of
/// them.
fn running(names: &[&str]) -> Fixture {
    let mut pool = pool(names);
    pool.submit(job("own"), at(100));
    let (upstream, run, row) = starts(&pool.take_effects()).remove(0);
    pool.on_start_answer(run, StartAnswer::Running, Some(101), at(101));
    pool.on_poll_answer(upstream, &list(std::slice::from_ref(&row), 102), at(101), at(102));
    pool.take_effects();
    Fixture { pool, upstream, run, row }
}

/// Passes the answer to a poll of the upstream, and returns the effects.
fn answer(fixture: &mut Fixture, running: &[RunningRun], ms: u64) -> Vec<Effect> {
    fixture.pool.on_poll_answer(fixture.upstream, &list(running, ms), at(ms - 1), at(ms));
    fixture.pool.take_effects()
}

#[test]
fn the_owner_renews_runs_of_a_leaving_host_only_while_it_has_a_link() {
    let mut fixture = running(&["u1"]);
    let leaving = Host::new("leaving");
    let foreign = foreign_run("foreign");
    let both = [fixture.row.clone(), foreign.clone()];
    fixture.pool.on_roster(&leaving, roster("u1", &[foreign]), at(110));
    let linked = answer(&mut fixture, &both, 120);

    fixture.pool.on_host_lost(&leaving, !DISPATCHED, at(130));
    fixture.pool.submit(job("next"), at(131));
    let lost = fixture.pool.take_effects();
    let listed = answer(&mut fixture, &both, 260);
    let ended = answer(&mut fixture, &both[..1], 900);

    assert!(renews(&linked));
    assert!(!renews(&lost));
    assert!(!renews(&listed));
    assert!(renews(&ended));
}

#[test]
fn a_leaving_host_keeps_no_runs_of_the_next_owner_alive() {
    let mut fixture = running(&["u1"]);
    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    let alone = [fixture.row.clone()];
    let both = [fixture.row.clone(), foreign_run("next")];

    let before = answer(&mut fixture, &alone, 120);
    let beside = answer(&mut fixture, &both, 420);
    let after = answer(&mut fixture, &alone, 720);

    assert!(renews(&before));
    assert!(!renews(&beside));
    let waits = |effect: &Effect| matches!(effect, Effect::Poll { wait, .. } if !wait.is_zero());
    assert!(beside.iter().any(waits), "the next poll waits for an end, as with a renewal");
    assert!(renews(&after));
}

/// Its rosters are of the time when it owned the upstream, and nobody tells it that one has changed.
#[test]
fn a_leaving_host_renews_no_run_of_its_former_rosters() {
    let mut fixture = running(&["u1"]);
    let foreign = foreign_run("foreign");
    let both = [fixture.row.clone(), foreign.clone()];
    fixture.pool.on_roster(&Host::new("first"), roster("u1", &[foreign]), at(110));
    let owned = answer(&mut fixture, &both, 120);

    fixture.pool.update_upstream(record("u1"), !OWNED, at(130));
    let released = answer(&mut fixture, &both, 140);
    fixture.pool.update_upstream(record("u1"), OWNED, at(150));
    answer(&mut fixture, &both, 160);
    let owned_again = answer(&mut fixture, &both, 170);

    assert!(renews(&owned));
    assert!(!renews(&released));
    assert!(renews(&owned_again));
}

/// Its peers have to notice its loss as soon as that of a dispatcher: the owner renews its runs.
#[test]
fn a_host_is_depended_on_until_its_last_run_on_a_released_upstream_has_ended() {
    let mut fixture = running(&["u1"]);
    let owned = fixture.pool.follows_released_runs();
    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    let released = fixture.pool.follows_released_runs();

    answer(&mut fixture, &[], 120);
    let absent = fixture.pool.follows_released_runs();
    // After the time of a stop, which another host may have ordered.
    answer(&mut fixture, &[], 180);

    assert_eq!((owned, released, absent), (false, true, true));
    assert!(!fixture.pool.follows_released_runs());
}

/// Neither of them may renew beside the other's runs.
#[test]
fn the_owner_renews_for_two_leaving_hosts_also_without_runs_of_its_own() {
    let mut pool = pool(&["u1"]);
    let rows = [foreign_run("first"), foreign_run("second")];
    pool.on_roster(&Host::new("first"), roster("u1", &rows[..1]), at(100));
    pool.on_roster(&Host::new("second"), roster("u1", &rows[1..]), at(101));
    let upstream = polls(&pool.take_effects())[0];

    pool.on_poll_answer(upstream, &list(&rows, 110), at(102), at(110));
    let beside = pool.take_effects();
    pool.on_poll_answer(upstream, &list(&[], 2_200), at(2_199), at(2_200));
    let ended = pool.take_effects();

    assert!(renews(&beside));
    assert!(!renews(&ended));
}

/// Returns the outcomes of jobs among the effects.
fn outcomes(effects: &[Effect]) -> Vec<Outcome> {
    let outcome = |effect: &Effect| match effect {
        Effect::Finish { outcome, .. } => Some(outcome.clone()),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

/// Ticks a dispatcher every 25 ms, and returns the outcomes of its jobs.
fn tick(pool: &mut Pool, from_ms: u64, to_ms: u64) -> Vec<Outcome> {
    for ms in (from_ms..to_ms).step_by(25) {
        pool.tick(at(ms));
    }
    outcomes(&pool.take_effects())
}

/// Its upstreams have passed to another host, and nothing can be started here any more.
#[test]
fn a_job_that_lost_its_runs_does_not_wait_for_its_deadline_without_upstreams() {
    let mut fixture = running(&["u1"]);
    let end = EndedRun {
        sequence: 1,
        task: Some(fixture.row.task.clone()),
        number: fixture.row.number,
        how: RunEnd::Expired,
    };
    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    let running = tick(&mut fixture.pool, 125, 1_000);

    let listing = Listing { ended: vec![end], ..list(&[], 1_000) };
    fixture.pool.on_poll_answer(fixture.upstream, &listing, at(999), at(1_000));
    let lost = tick(&mut fixture.pool, 1_025, 2_000);

    assert!(running.is_empty(), "its run goes on");
    assert!(matches!(lost[..], [Outcome::MayHaveRun(_)]), "{lost:?}");
}

#[test]
fn a_queued_job_does_not_wait_where_no_upstreams_are_left() {
    let mut fixture = running(&["u1"]);
    let wide = Request { id: Id::new("queued"), ..job("queued") };
    let needs = Needs { cpu: 16_000, ..wide.steps[0].needs };
    let steps = vec![Step { needs, ..wide.steps[0].clone() }];
    fixture.pool.submit(Request { steps, ..wide }, at(105));
    let queued = outcomes(&fixture.pool.take_effects());

    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    let released = tick(&mut fixture.pool, 125, 1_000);

    assert!(queued.is_empty());
    assert!(matches!(released[..], [Outcome::NotRun { .. }]), "{released:?}");
}

/// An odd record may move an upstream to another data centre for a moment.
#[test]
fn a_job_with_a_run_waits_for_upstreams_that_return() {
    let mut pool = pool(&["u1"]);
    let wide = job("wide");
    let steps = vec![Step { count: 3, ..wide.steps[0].clone() }];
    pool.submit(Request { steps, ..wide }, at(100));
    let started = starts(&pool.take_effects());
    for (_, run, _) in &started {
        pool.on_start_answer(*run, StartAnswer::Running, Some(101), at(101));
    }

    pool.update_upstream(record("u1"), !OWNED, at(110));
    let released = tick(&mut pool, 125, 800);

    assert_eq!(started.len(), 2, "the third task is queued");
    assert!(released.is_empty(), "{released:?}");
}

#[test]
fn upstreams_that_return_at_once_end_no_queued_job() {
    let mut fixture = running(&["u1"]);
    let end = EndedRun {
        sequence: 1,
        task: Some(fixture.row.task.clone()),
        number: fixture.row.number,
        how: RunEnd::Expired,
    };
    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    let listing = Listing { ended: vec![end], ..list(&[], 120) };
    fixture.pool.on_poll_answer(fixture.upstream, &listing, at(115), at(120));
    let released = tick(&mut fixture.pool, 125, 300);

    fixture.pool.update_upstream(record("u1"), OWNED, at(300));
    let returned = tick(&mut fixture.pool, 325, 1_000);

    assert!(released.is_empty(), "{released:?}");
    assert!(returned.is_empty(), "{returned:?}");
}

/// The next owner renews its leases.
#[test]
fn a_leaving_host_takes_no_run_for_over_because_its_own_lease_has_expired() {
    let mut fixture = running(&["u1", "u2"]);
    let name = fixture.pool.upstream_address(fixture.upstream).map(|(name, _)| name);
    let name = name.expect("the upstream is known");
    fixture.pool.update_upstream(record(name.as_str()), !OWNED, at(110));
    for ms in [200, 300, 400] {
        fixture.pool.on_poll_failed(fixture.upstream, PollFailure::NoAnswer, at(ms));
    }

    for ms in (900..4_000).step_by(100) {
        fixture.pool.tick(at(ms));
    }

    assert!(starts(&fixture.pool.take_effects()).is_empty());
}

/// A host that hasn't seen the run on a list yet may have renewed its lease until then.
#[test]
fn a_run_beside_those_of_a_leaving_host_is_not_over_before_that_host_has_seen_it() {
    let mut pool = pool(&["u1"]);
    let foreign = foreign_run("foreign");
    pool.on_roster(&Host::new("leaving"), roster("u1", &[foreign]), at(95));
    pool.submit(job("own"), at(100));
    let (upstream, run, _) = starts(&pool.take_effects()).remove(0);
    pool.update_upstream(record("u2"), OWNED, at(101));
    let other = *polls(&pool.take_effects()).last().expect("the other upstream is polled");
    assert_ne!(other, upstream);
    pool.on_poll_answer(other, &list(&[], 102), at(101), at(102));
    // Nothing arrives from the upstream any more.
    pool.on_start_answer(run, StartAnswer::Unknown, None, at(130));
    pool.on_stop_answer(run, !CONFIRMED, None, at(190));
    pool.on_poll_failed(upstream, PollFailure::NoAnswer, at(200));
    pool.take_effects();

    // It may begin until 800 ms, be listed to the leaving host for the first time 400 ms later, and
    // then last 714 ms.
    pool.tick(at(1_900));
    let early = starts(&pool.take_effects());
    pool.tick(at(1_940));
    let late = starts(&pool.take_effects());

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

#[test]
fn runs_of_a_host_without_a_link_are_not_renewed_however_long_they_last() {
    let mut pool = pool(&["u1"]);
    let upstream = {
        pool.submit(job("first"), at(100));
        let (upstream, run, _) = starts(&pool.take_effects()).remove(0);
        pool.on_start_answer(run, StartAnswer::Running, Some(101), at(101));
        upstream
    };
    pool.take_effects();
    let isolated = foreign_run("isolated");

    for ms in (200..3_000).step_by(120) {
        pool.on_poll_answer(
            upstream,
            &list(std::slice::from_ref(&isolated), ms),
            at(ms - 1),
            at(ms),
        );
        pool.tick(at(ms + 1));
    }
    let contested = pool.take_effects();
    let load = pool.load(at(3_000));
    pool.on_poll_answer(upstream, &list(&[], 3_100), at(3_099), at(3_100));
    let free = pool.take_effects();

    assert!(!renews(&contested));
    assert!(load.cores > 0.0, "its jobs wait for the upstream instead of being refused");
    assert_eq!(load.free_slots, 0);
    assert_eq!(starts(&free).len(), 1);
}

/// The last list of an idle upstream may be seconds old, and a start renews the leases of all runs.
#[test]
fn after_the_loss_of_a_dispatcher_an_idle_upstream_is_listed_before_a_start() {
    let mut pool = pool(&["u1"]);
    pool.on_host_lost(&Host::new("lost"), DISPATCHED, at(1_000));

    pool.submit(job("own"), at(1_001));
    let submitted = pool.take_effects();
    let upstream = polls(&submitted)[0];
    pool.on_poll_answer(upstream, &list(&[foreign_run("lost")], 1_002), at(1_001), at(1_002));
    let beside = pool.take_effects();
    pool.on_poll_answer(upstream, &list(&[], 1_600), at(1_599), at(1_600));
    let alone = pool.take_effects();

    assert!(!renews(&submitted));
    assert!(!renews(&beside));
    assert_eq!(starts(&alone).len(), 1);
}

#[test]
fn a_job_does_not_start_while_an_upstream_lists_a_run_of_its_earlier_submission() {
    let mut fixture = running(&["u1", "u2"]);
    let earlier = foreign_run("again");
    let both = [fixture.row.clone(), earlier];
    answer(&mut fixture, &both, 110);

    fixture.pool.submit(job("again"), at(111));
    let effects = fixture.pool.take_effects();

    assert!(starts(&effects).is_empty());
    let given_up =
        |effect: &Effect| matches!(effect, Effect::Finish { outcome: Outcome::MayHaveRun(_), .. });
    assert!(effects.iter().any(given_up));
}

/// A run that can't be stopped ends when its lease expires, also if another host renews it.
#[test]
fn a_run_that_does_not_answer_to_stops_leaves_the_roster() {
    let mut fixture = running(&["u1"]);
    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    let before = fixture.pool.roster(&Upstream::new("u1"));
    fixture.pool.cancel_by_id(&Id::new("own"), at(120));

    fixture.pool.on_stop_answer(fixture.run, !CONFIRMED, None, at(180));
    let once = fixture.pool.take_has_stale_rosters();
    fixture.pool.on_stop_answer(fixture.run, !CONFIRMED, None, at(240));
    let twice = fixture.pool.take_has_stale_rosters();

    assert_eq!(before, Some(roster("u1", std::slice::from_ref(&fixture.row))));
    assert_eq!((once, twice), (false, true));
    assert_eq!(fixture.pool.roster(&Upstream::new("u1")), Some(roster("u1", &[])));
}

/// Starts of other jobs renewed its lease, which polls no longer did (review case 8).
#[test]
fn no_start_keeps_a_run_alive_that_does_not_answer_to_stops() {
    let mut fixture = running(&["u1"]);
    let row = fixture.row.clone();
    let alive = std::slice::from_ref(&row);
    fixture.pool.cancel_by_id(&Id::new("own"), at(120));
    fixture.pool.on_stop_answer(fixture.run, !CONFIRMED, None, at(180));
    answer(&mut fixture, alive, 190);
    fixture.pool.submit(job("after one stop"), at(191));
    let once = starts(&fixture.pool.take_effects());
    fixture.pool.on_start_answer(once[0].1, StartAnswer::Unwell, Some(192), at(192));
    fixture.pool.cancel_by_id(&Id::new("after one stop"), at(192));

    fixture.pool.on_stop_answer(fixture.run, !CONFIRMED, None, at(240));
    let mut beside = answer(&mut fixture, alive, 250);
    fixture.pool.submit(job("after two stops"), at(251));
    for ms in (300..900).step_by(50) {
        beside.extend(answer(&mut fixture, alive, ms));
    }
    // The last renewal was at 191 ms.
    fixture.pool.tick(at(910));
    let expired = fixture.pool.take_effects();

    assert_eq!(once.len(), 1);
    assert!(!renews(&beside));
    assert_eq!(starts(&expired).len(), 1);
}

/// A host took the loss of the record for the end of a run whose lease the next owner renewed (review
/// case 6).
#[test]
fn a_run_of_a_leaving_host_that_is_listed_outlives_the_record_of_its_upstream() {
    let mut fixture = running(&["u1"]);
    let row = fixture.row.clone();
    let both = [row.clone(), foreign_run("next")];
    fixture.pool.update_upstream(record("u1"), !OWNED, at(110));
    fixture.pool.on_record_lost(&Upstream::new("u1"), at(200));

    let mut effects = Vec::new();
    for ms in (210..3_000).step_by(100) {
        effects.extend(answer(&mut fixture, &both, ms));
        fixture.pool.tick(at(ms + 50));
    }
    let followed = fixture.pool.roster(&Upstream::new("u1"));
    let how = RunEnd::Done;
    let end = EndedRun { sequence: 1, task: Some(row.task.clone()), number: row.number, how };
    let listing = Listing { ended: vec![end], ..list(&[], 3_000) };
    fixture.pool.on_poll_answer(fixture.upstream, &listing, at(2_999), at(3_000));
    let ended = outcomes(&fixture.pool.take_effects());

    assert!(outcomes(&effects).is_empty());
    assert_eq!(followed, Some(roster("u1", &[row])));
    assert_eq!(ended, [Outcome::Completed]);
}

/// The next owner may still reach the upstream, and renew the lease there.
#[test]
fn a_run_out_of_reach_without_a_record_is_over_only_after_its_owner_can_have_renewed_it() {
    let mut fixture = running(&["u1", "u2"]);
    let name = fixture.pool.upstream_address(fixture.upstream).map(|(name, _)| name);
    let name = name.expect("the upstream is known");
    fixture.pool.update_upstream(record(name.as_str()), !OWNED, at(110));
    for ms in [200, 300, 400] {
        fixture.pool.on_poll_failed(fixture.upstream, PollFailure::NoAnswer, at(ms));
    }
    fixture.pool.on_record_lost(&name, at(500));
    let followed = fixture.pool.roster(&name);

    // The last answer was at 102 ms.
    fixture.pool.tick(at(820));
    let (is_stale, abandoned) = (fixture.pool.take_has_stale_rosters(), fixture.pool.roster(&name));
    // Until 1,170 ms the owner may renew by the former roster, and until 1,570 ms on an older list.
    fixture.pool.tick(at(2_280));
    let early = starts(&fixture.pool.take_effects());
    fixture.pool.tick(at(2_290));
    let late = starts(&fixture.pool.take_effects());

    assert_eq!(followed, Some(roster(name.as_str(), std::slice::from_ref(&fixture.row))));
    assert!(is_stale);
    assert_eq!(abandoned, Some(roster(name.as_str(), &[])));
    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

#[test]
fn an_older_list_that_arrives_late_bars_no_upstream() {
    let mut fixture = running(&["u1"]);
    let row = fixture.row.clone();
    let end = EndedRun {
        sequence: 1,
        task: Some(row.task.clone()),
        number: row.number,
        how: RunEnd::Done,
    };
    let newer = Listing { ended: vec![end], ..list(&[], 200) };
    fixture.pool.on_poll_answer(fixture.upstream, &newer, at(150), at(201));

    fixture.pool.on_poll_answer(fixture.upstream, &list(&[row], 199), at(198), at(202));

    assert!(fixture.pool.owns(&Upstream::new("u1")));
}

/// A peer may send anything.
#[test]
fn rosters_are_bounded() {
    let mut fixture = running(&["u1"]);
    let host = Host::new("hostile");
    let foreign = foreign_run("zzz");
    for number in 0..40_000 {
        let runs = [foreign_run(&format!("{number}"))];
        fixture.pool.on_roster(&host, roster(&format!("unknown {number}"), &runs), at(110));
    }
    fixture.pool.on_roster(&host, roster("u1", std::slice::from_ref(&foreign)), at(111));
    let both = [fixture.row.clone(), foreign];

    let beyond = answer(&mut fixture, &both, 120);

    assert!(!renews(&beyond), "what is beyond the bound is not known");
}

/// The upstream's next process held a run of the same number, which an order to stop an earlier one met.
#[test]
fn a_run_that_another_host_stops_is_not_over_before_the_time_of_a_stop() {
    let mut fixture = running(&["u1", "u2"]);

    let absent = answer(&mut fixture, &[], 300);
    fixture.pool.tick(at(330));
    let early = fixture.pool.take_effects();
    fixture.pool.tick(at(352));
    let polled = fixture.pool.take_effects();
    fixture.pool.on_poll_answer(fixture.upstream, &list(&[], 354), at(352), at(354));
    let late = fixture.pool.take_effects();

    assert_eq!(starts(&absent).len() + starts(&early).len(), 0, "{absent:?} {early:?}");
    assert!(polls(&polled).contains(&fixture.upstream), "{polled:?}");
    assert_eq!(starts(&late).len(), 1, "{late:?}");
}
