//! End-to-end demonstration on loopback: the platform, two data centres with two entry hosts each,
//! four upstreams of different speeds, and two customers on two plans. Exits with 0 if every check
//! passes.

use heathertrack_testkit::client::Answer;
use heathertrack_testkit::fixture::{Cluster, ClusterSpec};
use std::process::ExitCode;
use std::time::Instant;

#[tokio::main]
async fn main() -> ExitCode {
    println!("starting a platform, four upstreams and four entry hosts ...");
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let mut failures = Vec::new();
    run_stock_check(&cluster, &mut failures).await;
    run_cut_plan(&cluster, &mut failures).await;
    run_reservation(&cluster, &mut failures).await;
    check_starts(&cluster, &mut failures).await;
    for failure in &failures {
        println!("{failure}");
    }
    if failures.is_empty() {
        println!("all checks passed");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_stock_check(cluster: &Cluster, failures: &mut Vec<String>) {
    let caller = cluster.caller("kadriorg-crafts");
    let began = Instant::now();
    let answer = caller.submit(&cluster.hosts[0].caller_address, None, &cluster.job(1, 50)).await;
    print_answer("stock check", &answer, began);
    check(answer.status == 200, "the stock check is answered", failures);
}

async fn run_cut_plan(cluster: &Cluster, failures: &mut Vec<String>) {
    let caller = cluster.caller("pirita-souvenirs");
    let began = Instant::now();
    let answer = caller.submit(&cluster.hosts[3].caller_address, None, &cluster.job(40, 100)).await;
    print_answer("cut plan of 40 tasks", &answer, began);
    let answers = answer.json()["answers"].as_array().map_or(0, Vec::len);
    check(answers == 40, "the cut plan has 40 answers", failures);
}

/// Submits a job twice under one key, to hosts of different data centres.
async fn run_reservation(cluster: &Cluster, failures: &mut Vec<String>) {
    let caller = cluster.caller("kadriorg-crafts");
    let ticket = caller.ticket(&cluster.hosts[0].caller_address).await;
    let key = format!("{ticket}/1");
    let job = cluster.job(1, 200);
    let began = Instant::now();
    let first = caller.submit(&cluster.hosts[0].caller_address, Some(&key), &job).await;
    print_answer("reservation", &first, began);
    let began = Instant::now();
    let again = caller.submit(&cluster.hosts[3].caller_address, Some(&key), &job).await;
    print_answer("the same again, at a host of the other data centre", &again, began);
    check(first.status == 200, "the reservation is answered", failures);
    check(first == again, "both answers are the same", failures);
}

async fn check_starts(cluster: &Cluster, failures: &mut Vec<String>) {
    let mut total = 0;
    for upstream in &cluster.upstreams {
        let starts = upstream.starts().await;
        println!("{} in {}: {} starts", upstream.name, upstream.data_centre, starts.len());
        total += starts.len();
    }
    // One task of the stock check, 40 of the cut plan and one of the reservation.
    println!("{total} starts in all, of 42 tasks");
    check(total == 42, "each of the 42 tasks started once", failures);
}

fn print_answer(what: &str, answer: &Answer, began: Instant) {
    let elapsed = began.elapsed().as_millis();
    let text = String::from_utf8_lossy(&answer.body);
    let short: String = text.chars().take(110).collect();
    println!("{what}: status {} after {elapsed} ms\n    {short}", answer.status);
}

fn check(holds: bool, what: &str, failures: &mut Vec<String>) {
    if !holds {
        failures.push(format!("check failed: {what}"));
    }
}
