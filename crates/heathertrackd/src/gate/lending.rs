//! Lends unused shares of allowances to the hosts that have tasks queued.

use crate::log::Event;
use crate::metrics;
use crate::state::State;
use heathertrack::clock::Time;
use heathertrack::name::{Customer, Host};
use heathertrack::share::Loan;
use heathertrack_wire::frame::{self, LoanRequest};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which queued tasks are served.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest interval between two loan requests for one customer; with nine hosts, all peers are
/// asked within half a second.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which the borrower repays an unused loan.
const LOAN_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Added to the time that the borrower's tasks need, to get the term of a loan.
const TERM_MARGIN: Duration = Duration::from_millis(500);
/// Ticks between two rounds of repayment.
const REPAY_EVERY_TICKS: u32 = 10;

/// Starts the loop that serves queued tasks, borrows from peers and repays loans.
pub fn spawn(state: &Arc<State>) {
    tokio::spawn(lend_and_borrow(state.clone()));
}

async fn lend_and_borrow(state: Arc<State>) {
    let mut ticks = state.timer.every(TICK_INTERVAL);
    let mut turn = 0_usize;
    let mut tick_count = 0_u32;
    while ticks.next().await.is_some() && !state.shutdown.is_cancelled() {
        if state.gate.tick() {
            state.log.write(&Event::Paused);
        }
        for (customer, wanted, end) in state.gate.loan_requests(LOAN_REQUEST_INTERVAL) {
            turn += 1;
            if let Some(peer) = choose_lender(&state, turn) {
                tokio::spawn(request_loan(state.clone(), peer, customer, wanted, end));
            }
        }
        tick_count += 1;
        if tick_count.is_multiple_of(REPAY_EVERY_TICKS) {
            repay_idle_loans(&state);
        }
    }
}

/// Chooses the peer to ask. Odd turns go round the peers of this data centre, even turns go round
/// all others.
fn choose_lender(state: &State, turn: usize) -> Option<Host> {
    let view = state.view();
    let now = state.now();
    let alive =
        |host: &Host| view.state(host, now) != heathertrack::membership::HostState::Unresponsive;
    let (near, far): (Vec<Host>, Vec<Host>) = view
        .peers()
        .map(|entry| entry.host.clone())
        .filter(|host| alive(host))
        .partition(|host| view.is_same_data_centre(host));
    let pick = |hosts: &[Host], turn: usize| hosts.get(turn % hosts.len().max(1)).cloned();
    if turn.is_multiple_of(2) || near.is_empty() {
        pick(&far, turn / 2).or_else(|| pick(&near, turn))
    } else {
        pick(&near, turn / 2)
    }
}

async fn request_loan(state: Arc<State>, peer: Host, customer: Customer, wanted: u32, end: Time) {
    // The borrower counts the term from before it sends the request, the lender from the arrival
    // of the request, so the loan expires at the borrower first.
    let requested_at = state.now();
    let term = end.since(requested_at) + TERM_MARGIN;
    let request = LoanRequest {
        customer: customer.to_string(),
        tasks: wanted,
        starts: wanted,
        term_ms: u64::try_from(term.as_millis()).unwrap_or(u64::MAX),
    };
    metrics::message("borrow");
    if let Some(loan) = state.peers.borrow(&state, &peer, request).await {
        state.gate.borrow(&customer, peer, Loan::from(loan), term, requested_at);
    } else {
        metrics::wasted("borrow");
    }
}

fn repay_idle_loans(state: &Arc<State>) {
    for (customer, lender, key) in state.gate.take_idle_loans(LOAN_IDLE_TIMEOUT) {
        let state = state.clone();
        tokio::spawn(async move {
            metrics::message("repay");
            state.peers.repay(&state, &lender, &customer, key).await;
        });
    }
}

/// Answers a peer's request for a loan from this host's share. Returns `None` if the term is too
/// long or nothing can be lent.
pub fn handle_loan_request(state: &State, request: &LoanRequest) -> Option<frame::Loan> {
    let customer = Customer::new(&request.customer);
    let longest = longest_term(state);
    let term = Duration::from_millis(request.term_ms);
    if term > longest {
        return None;
    }
    let loan = state.gate.lend(&customer, request.tasks, request.starts, term)?;
    Some(loan.into())
}

/// Returns the longest term that is granted to a loan: the longest deadline of any plan, plus twice
/// the margin that a borrower adds, which covers the time for which a task may outlast its deadline.
/// Inherited seats stay unused for longer than this.
pub fn longest_term(state: &State) -> Duration {
    state.lists.longest_deadline() + 2 * TERM_MARGIN
}
