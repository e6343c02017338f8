//! End-to-end demonstration on loopback: the platform, two data centres with two entry hosts each,
//! four upstreams of different speeds, and two customers on two plans. Exits with 0 if every check
//! passes.

use heathertrack_testkit::client::Answer;
use heathertrack_testkit::fixture::{Cluster, Plan};
use std::process::ExitCode;
use std::time::Instant;

#[tokio::main]
async fn main() -> ExitCode {
    println!("starting a platform, four upstreams and four entry hosts ...");
    let cluster = Cluster::start(Plan::default()).await;
    let mut faults = Vec::new();
    stock_check(&cluster, &mut faults).await;
    cut_plan(&cluster, &mut faults).await;
    reservation(&cluster, &mut faults).await;
    count_starts(&cluster, &mut faults).await;
    for fault in &faults {
        println!("FAULT: {fault}");
    }
    if faults.is_empty() {
        println!("all is as it should be");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn stock_check(cluster: &Cluster, faults: &mut Vec<String>) {
    let caller = cluster.caller("kadriorg-crafts");
    let began = Instant::now();
    let answer = caller.submit(&cluster.hosts[0].callers, None, &cluster.job(1, 50)).await;
    show("stock check", &answer, began);
    expect(answer.status == 200, "the stock check is answered", faults);
}

async fn cut_plan(cluster: &Cluster, faults: &mut Vec<String>) {
    let caller = cluster.caller("pirita-souvenirs");
    let began = Instant::now();
    let answer = caller.submit(&cluster.hosts[3].callers, None, &cluster.job(40, 100)).await;
    show("cut plan of 40 tasks", &answer, began);
    let answers = answer.json()["answers"].as_array().map_or(0, Vec::len);
    expect(answers == 40, "the cut plan has 40 answers", faults);
}

async fn reservation(cluster: &Cluster, faults: &mut Vec<String>) {
    let caller = cluster.caller("kadriorg-crafts");
    let ticket = caller.ticket(&cluster.hosts[0].callers).await;
    let key = format!("{ticket}/1");
    let job = cluster.job(1, 200);
    let began = Instant::now();
    let first = caller.submit(&cluster.hosts[0].callers, Some(&key), &job).await;
    show("reservation", &first, began);
    let began = Instant::now();
    let again = caller.submit(&cluster.hosts[3].callers, Some(&key), &job).await;
    show("the same again, at a host of the other data centre", &again, began);
    expect(first.status == 200, "the reservation is answered", faults);
    expect(first == again, "both answers are the same", faults);
}

async fn count_starts(cluster: &Cluster, faults: &mut Vec<String>) {
    let mut total = 0;
    for worker in &cluster.workers {
        let starts = worker.starts().await;
        println!("{} in {}: {} starts", worker.name, worker.data_centre, starts.len());
        total += starts.len();
    }
    println!("{total} starts in all, of 42 tasks");
    expect(total == 42, "each of the 42 tasks started once", faults);
}

fn show(what: &str, answer: &Answer, began: Instant) {
    let elapsed = began.elapsed().as_millis();
    let text = String::from_utf8_lossy(&answer.body);
    let short: String = text.chars().take(110).collect();
    println!("{what}: status {} after {elapsed} ms\n    {short}", answer.status);
}

fn expect(holds: bool, what: &str, faults: &mut Vec<String>) {
    if !holds {
        faults.push(format!("it does not hold that {what}"));
    }
}
