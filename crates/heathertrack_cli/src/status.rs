//! The `status` command: shows the state of entry hosts.

use crate::command;
use crate::exit::Exit;
use crate::operators;
use heathertrack_platform::CallError;
use heathertrack_wire::status::Status;
use miette::{Report, miette};
use serde_json::{Value, json};
use std::net::SocketAddr;

pub async fn run(command: &command::Status, json: bool) -> Result<Exit, Report> {
    if command.operators.is_empty() {
        return Err(miette!("at least one operators' address is required"));
    }
    let mut hosts = Vec::new();
    for address in &command.operators {
        hosts.push((*address, operators::fetch_status(address).await));
    }
    if json {
        let values: Vec<Value> = hosts.iter().map(as_json).collect();
        println!("{}", Value::Array(values));
    } else {
        hosts.iter().for_each(print);
    }
    let all_answered = hosts.iter().all(|(_, status)| status.is_ok());
    Ok(if all_answered { Exit::Done } else { Exit::Failed })
}

fn as_json((address, status): &(SocketAddr, Result<Status, CallError>)) -> Value {
    match status {
        Ok(status) => json!({"address": address.to_string(), "status": status}),
        Err(error) => json!({"address": address.to_string(), "fault": error.to_string()}),
    }
}

fn print((address, status): &(SocketAddr, Result<Status, CallError>)) {
    let status = match status {
        Ok(status) => status,
        Err(error) => {
            println!("{address}: {error}");
            return;
        }
    };
    let ready = if status.ready { "ready" } else { "not ready" };
    println!("{} in {} at {address}: {}, {ready}", status.host, status.data_centre, status.phase);
    for (name, list) in [("plans", &status.plans), ("allowances", &status.allowances)] {
        println!("  {name} at revision {}", list.revision);
        list.faults.iter().for_each(|faults| println!("    refused: {faults}"));
    }
    println!(
        "  {} seats, {} jobs recorded, {} tasks waiting, {} running",
        status.seats, status.records, status.waiting, status.running
    );
    for peer in &status.hosts {
        println!("  host {} in {}: {}", peer.name, peer.data_centre, peer.state);
    }
    for upstream in &status.upstreams {
        println!(
            "  upstream {} at {}: {}, {} of {} slots, {:.2} times slower than ordinary",
            upstream.name,
            upstream.address,
            upstream.state,
            upstream.running,
            upstream.slots,
            upstream.slowness
        );
    }
    for customer in &status.customers {
        println!(
            "  customer {} on {}: {} tasks out, share {}, borrowed {}, {} waiting",
            customer.name,
            customer.plan,
            customer.out,
            customer.share,
            customer.borrowed,
            customer.waiting
        );
    }
}
