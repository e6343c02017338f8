//! Status and gauges of this host, for operators. Some states have other words there than in the
//! code: an unresponsive host is silent, and a probing upstream is on trial.

use crate::metrics;
use crate::state::State;
use heathertrack::dispatch::Eligibility;
use heathertrack::membership::HostState;
use heathertrack_wire::status::{Customer, Host, List, Status, Upstream};

/// Returns the status of this host.
pub fn current(state: &State) -> Status {
    let (waiting, running) = {
        let core = state.dispatcher.core();
        (core.queued_count(), core.running_count())
    };
    let records = state.submissions().records().len();
    Status {
        host: state.home.host.to_string(),
        data_centre: state.home.data_centre.to_string(),
        incarnation: state.home.incarnation.to_string(),
        phase: format!("{:?}", state.phase()).to_lowercase(),
        ready: state.is_ready(),
        plans: List { revision: state.lists.plans.revision(), faults: state.lists.plans.faults() },
        allowances: List {
            revision: state.lists.allowances.revision(),
            faults: state.lists.allowances.faults(),
        },
        seats: state.gate.seats().len(),
        records,
        waiting,
        running,
        hosts: hosts(state),
        upstreams: upstreams(state),
        customers: customers(state),
    }
}

/// Returns the other entry hosts on the platform's list.
fn hosts(state: &State) -> Vec<Host> {
    let now = state.now();
    let view = state.view();
    let host = |entry: &heathertrack::membership::ListedHost| Host {
        name: entry.host.to_string(),
        data_centre: entry.data_centre.to_string(),
        address: entry.address.clone(),
        operators: view.operators(&entry.host),
        state: match view.state(&entry.host, now) {
            HostState::Alive => "alive",
            HostState::Draining => "draining",
            HostState::Unresponsive => "silent",
        }
        .to_owned(),
    };
    view.peers().map(host).collect()
}

/// Returns the upstreams that this host owns, sorted by name.
fn upstreams(state: &State) -> Vec<Upstream> {
    let now = state.now();
    let core = state.dispatcher.core();
    let owned = core.upstreams().filter(|upstream| upstream.owned);
    let mut upstreams: Vec<Upstream> = owned
        .map(|upstream| Upstream {
            name: upstream.spec.name.to_string(),
            address: upstream.spec.address.clone(),
            state: match upstream.health.eligibility(now) {
                _ if upstream.spec.leaving => "leaving",
                Eligibility::Healthy => "good",
                Eligibility::Ejected(_) => "ejected",
                Eligibility::Probing => "on trial",
                Eligibility::Unreachable(_) => "unreachable",
            }
            .to_owned(),
            slowness: upstream.slowness(now),
            running: upstream.running(),
            slots: upstream.spec.slots,
        })
        .collect();
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    upstreams
}

/// Returns the customers with a permit queue on this host, sorted by name. The plan is empty if the
/// list in force does not name the customer.
fn customers(state: &State) -> Vec<Customer> {
    let plans = state.lists.plans.current();
    let plan = |name: &heathertrack::name::Customer| {
        let customer = plans.as_ref().and_then(|plans| plans.value.customers.get(name));
        customer.map(|customer| customer.plan.to_string()).unwrap_or_default()
    };
    let uses = state.gate.uses();
    uses.into_iter()
        .map(|(name, usage)| Customer {
            plan: plan(&name),
            name: name.to_string(),
            share: usage.share,
            out: usage.in_flight,
            waiting: usage.waiting,
            borrowed: usage.borrowed,
        })
        .collect()
}

/// Updates the gauges; called when the metrics are requested.
pub fn set_gauges(state: &State) {
    metrics::upkeep();
    let status = current(state);
    metrics::set_gauge("heathertrack_ready", f64::from(u8::from(status.ready)));
    metrics::set_gauge("heathertrack_plans_revision", status.plans.revision as f64);
    metrics::set_gauge("heathertrack_allowances_revision", status.allowances.revision as f64);
    metrics::set_gauge("heathertrack_seats", status.seats as f64);
    metrics::set_gauge("heathertrack_records", status.records as f64);
    metrics::set_gauge("heathertrack_tasks_waiting", status.waiting as f64);
    metrics::set_gauge("heathertrack_tasks_running", status.running as f64);
    let faulty = status.plans.faults.is_some() || status.allowances.faults.is_some();
    metrics::set_gauge("heathertrack_list_faulty", f64::from(u8::from(faulty)));
    for (name, usage) in state.gate.uses() {
        let (share, in_flight) = (f64::from(usage.share), f64::from(usage.in_flight));
        metrics::set_share(&name, share, in_flight, usage.waiting as f64);
    }
}
