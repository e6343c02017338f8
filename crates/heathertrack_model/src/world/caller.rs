//! Emulated callers.

use super::{Answer, MAX_ATTEMPTS, World};
use crate::load::{DrawnJob, OBJECTIVE_EXTRA, OBJECTIVE_RATIO};
use crate::upstream::JobProfile;
use crate::verdict::Violation;
use heathertrack::pool::job::{Id, Outcome, Request};
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after which a caller submits a job again if the connection was lost or the outcome is
/// unknown.
pub(super) const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Maximum number of submissions of one job.
const MAX_SUBMISSIONS: usize = 3;
/// Multiple of the objective after which an answer is worth nothing.
const LATE_FACTOR: u32 = 3;
/// Worth of a late answer relative to one in time.
const LATE_WORTH: f64 = 0.2;

/// Runs one caller: draws a job, submits it until there is an outcome, and records the result.
pub(super) async fn run(world: Rc<World>) {
    let (drawn, id, mut leaves_after, reconnects, deadly) = {
        let mut random = world.random.borrow_mut();
        let drawn = world.plan.load.draw(&mut random);
        let id = Id::new(format!("{:016x}", random.random::<u64>()));
        let leaves = random.random_bool(world.leaving_share.get());
        let leaves_after = leaves.then(|| drawn.objective.mul_f64(random.random_range(0.05..0.9)));
        let reconnecting_share = world.plan.load.reconnecting_share;
        // Without reconnecting callers nothing is drawn, so that the other draws of a seed stay the same.
        let reconnects =
            leaves && reconnecting_share > 0.0 && random.random_bool(reconnecting_share);
        let deadly_share = world.deadly_share.get();
        // Without deadly tasks nothing is drawn, so that the other draws of a seed stay the same.
        let deadly = deadly_share > 0.0 && random.random_bool(deadly_share);
        (drawn, id, leaves_after, reconnects, deadly)
    };
    world.job_profiles.borrow_mut().insert(
        id.clone(),
        JobProfile {
            class: drawn.class,
            work: drawn.work.clone(),
            needs: drawn.step.needs,
            poison: drawn.poison,
            deadly,
        },
    );
    let began = Instant::now();
    let mut refusals = 0;
    let mut submissions = 0;
    let mut retry = None;
    let outcome = loop {
        submissions += 1;
        let request = request(&world, &drawn, &id);
        let submitted_at = Instant::now();
        match world.submit(request, leaves_after).await {
            Answer::Outcome(Outcome::NotRun { retry_after, .. }) => {
                refusals += 1;
                retry = Some(retry_after);
                break None;
            }
            Answer::Outcome(Outcome::MayHaveRun(_)) | Answer::ConnectionLost => {
                if submissions == MAX_SUBMISSIONS {
                    break None;
                }
                sleep(RESUBMIT_DELAY).await;
            }
            Answer::Outcome(outcome) => {
                if outcome == Outcome::Failed {
                    world.failed.borrow_mut().insert(id.clone(), submitted_at);
                }
                break Some(outcome);
            }
            Answer::Left if reconnects => {
                leaves_after = None;
                sleep(RESUBMIT_DELAY).await;
            }
            Answer::Left => return,
            Answer::Missing(waited) => {
                let job = id.to_string();
                world.violations.borrow_mut().push(Violation::NoAnswer { job, waited });
                break None;
            }
        }
    };
    let age = began.elapsed();
    let resubmitted = match retry {
        Some(wait) if refusals == submissions => resubmit(&world, &drawn, &id, wait).await,
        _ => None,
    };
    if refusals == submissions && resubmitted.is_none() {
        world.refused.borrow_mut().insert(id);
    }
    let stats = &mut world.stats.borrow_mut()[drawn.class];
    if let Some(in_time) = resubmitted {
        stats.returned += 1;
        stats.returned_in_time += u32::from(in_time);
    }
    if deadly {
        // Such a job can't be done, whatever the answer.
        return;
    }
    stats.jobs += 1;
    stats.total_worth += drawn.worth;
    let correct = match outcome {
        Some(Outcome::Completed) => true,
        Some(Outcome::Failed) => drawn.poison,
        _ => false,
    };
    if correct {
        let age = age.as_secs_f64() / drawn.objective.as_secs_f64();
        world.answer_ages.borrow_mut().push(age);
    }
    if correct && age <= drawn.objective {
        stats.in_time += 1;
        stats.earned_worth += drawn.worth;
    } else if correct && age <= drawn.objective * LATE_FACTOR {
        stats.late += 1;
        stats.earned_worth += drawn.worth * LATE_WORTH;
    } else if refusals > 0 {
        stats.refused += 1;
    } else {
        stats.failed += 1;
    }
}

/// Submits a refused job once more, after the retry time of the refusal. Returns whether it was
/// answered in time, or `None` if this caller doesn't submit it again.
async fn resubmit(world: &World, drawn: &DrawnJob, id: &Id, wait: Duration) -> Option<bool> {
    let returning_share = world.plan.load.returning_share;
    // Without returning callers nothing is drawn, so that the other draws of a seed stay the same.
    if returning_share == 0.0 || !world.random.borrow_mut().random_bool(returning_share) {
        return None;
    }
    // The retry-after header holds whole seconds.
    sleep(Duration::from_secs(wait.as_secs_f64().ceil().max(1.0) as u64)).await;
    let sent = Instant::now();
    let answer = world.submit(request(world, drawn, id), None).await;
    if matches!(answer, Answer::Outcome(Outcome::Failed)) {
        world.failed.borrow_mut().insert(id.clone(), sent);
    }
    let done = match answer {
        Answer::Outcome(Outcome::Completed) => true,
        Answer::Outcome(Outcome::Failed) => drawn.poison,
        _ => false,
    };
    Some(done && sent.elapsed() <= drawn.objective)
}

/// Returns the request for a job. [`World::submit`] sets its times relative to its receipt.
fn request(world: &World, drawn: &DrawnJob, id: &Id) -> Request {
    let class = &world.plan.load.classes[drawn.class];
    let zero = heathertrack::clock::Time::ZERO;
    let objective = drawn.step.estimate.mul_f64(OBJECTIVE_RATIO) + OBJECTIVE_EXTRA;
    Request {
        id: id.clone(),
        spec: Arc::from(""),
        class: Arc::from(class.name),
        service: Arc::from("service"),
        priority: class.priority,
        max_attempts: MAX_ATTEMPTS,
        steps: vec![drawn.step.clone()],
        received: zero,
        objective,
        deadline: zero + drawn.objective * LATE_FACTOR + RESUBMIT_DELAY,
    }
}
