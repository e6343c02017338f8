use super::event::Event;
use super::node::{Allowance, Node, quiet_period};
use heathertrack::share::{Holder, Loan, LoanKey, Permit, SeatTable};
use std::collections::BTreeSet;
use std::time::Duration;

pub const HOSTS: usize = 4;
/// Longest deadline of a task, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 1_000;
/// Time by which the term of a loan exceeds the run time for which it is requested, in
/// milliseconds.
pub const LOAN_MARGIN_MS: u64 = 100;
/// Pause after which a process must not use its seats until it has read the table of seats again.
pub const PAUSE: Duration = Duration::from_millis(500);
/// Time after which an unused loan is repaid.
const LOAN_IDLE: Duration = Duration::from_millis(50);
/// Tolerance for rounding errors in a number of starts.
const ROUNDING: f64 = 1e-6;

/// Mechanism that is disabled, to show that the oracle detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// Seats of a process that is gone stay unused until its tasks must have ended.
    QuietPeriod,
    /// Permits of a loan are given only to tasks that end before it expires.
    LoanExpiry,
    /// A process that was paused uses no seats until it has read the table again.
    PauseCheck,
    /// Seats are given up only when the tasks and loans fit into the remaining ones.
    UsageCheck,
}

/// Task in flight, whether or not the process that started it still exists.
struct InFlight {
    /// The process that started it.
    holder: Holder,
    host: usize,
    permit: Permit<usize>,
    deadline_ms: u64,
}

/// Message in flight.
enum Message {
    /// A loan on the way from the host of its lender to that of the borrower, which sent its
    /// request at `asked_ms`.
    Lent { from: usize, to: usize, borrower: Holder, loan: Loan, asked_ms: u64, term: Duration },
    /// The repayment of a loan, on the way to the lender.
    Repaid { to: usize, key: LoanKey },
}

/// Hosts that share one customer's allowance, the table of seats, and the oracle.
pub struct Cluster {
    disabled: Disabled,
    allowance: Allowance,
    now_ms: u64,
    /// The process on each host, if one runs.
    nodes: Vec<Option<Node>>,
    /// Last incarnation given to a process.
    incarnations: u64,
    table: SeatTable,
    /// Processes that are gone for good.
    gone: BTreeSet<Holder>,
    in_flight: Vec<InFlight>,
    messages: Vec<Message>,
    /// Times of all task starts, in order.
    starts_ms: Vec<u64>,
}

/// An error describes how the allowance was exceeded.
type CheckResult = Result<(), String>;

impl Cluster {
    pub fn new(allowance: Allowance, disabled: Disabled) -> Self {
        let mut cluster = Cluster {
            disabled,
            allowance,
            now_ms: 0,
            nodes: Vec::new(),
            incarnations: 0,
            table: SeatTable::default(),
            gone: BTreeSet::new(),
            in_flight: Vec::new(),
            messages: Vec::new(),
            starts_ms: Vec::new(),
        };
        for host in 0..HOSTS {
            let node = cluster.new_node(host);
            cluster.nodes.push(Some(node));
        }
        cluster
    }

    fn new_node(&mut self, host: usize) -> Node {
        self.incarnations += 1;
        Node::new(self.allowance, host, self.incarnations, self.now_ms)
    }

    pub fn apply(&mut self, event: Event) -> CheckResult {
        match event {
            Event::Advance(ms) => self.now_ms += u64::from(ms),
            Event::ReconcileAll => (0..HOSTS).for_each(|host| self.reconcile(host, false)),
            Event::Reconcile { host, lost } => self.reconcile(host, lost),
            Event::Start { host, count, ms } => self.start(host, count, ms),
            Event::End { task } => self.end(task),
            Event::RequestLoan { from, to, tasks, ms } => self.request_loan(from, to, tasks, ms),
            Event::Deliver { message, lost } => self.deliver(message, lost),
            Event::Repay { host } => self.repay(host),
            Event::Kill { host } => self.kill(host),
            Event::Restart { host } => {
                self.kill(host);
                let node = self.new_node(host);
                self.nodes[host] = Some(node);
            }
            Event::Freeze { host, frozen } => {
                if let Some(node) = &mut self.nodes[host] {
                    node.frozen = frozen;
                }
            }
            Event::Tick { host } => {
                let now_ms = self.now_ms;
                if let Some(node) = self.running(host) {
                    let now = node.now(now_ms);
                    node.pause_detector.tick(now);
                }
            }
            Event::DeclareGone { host } => self.declare_gone(host),
            Event::Leave { host } => {
                if let Some(node) = self.running(host) {
                    node.leaving = true;
                }
            }
        }
        self.end_overdue();
        self.check()
    }

    /// Returns the process on a host, unless it is frozen.
    fn running(&mut self, host: usize) -> Option<&mut Node> {
        self.nodes[host].as_mut().filter(|node| !node.frozen)
    }

    fn kill(&mut self, host: usize) {
        if let Some(node) = self.nodes[host].take() {
            self.gone.insert(node.holder);
        }
    }

    /// Freezes a host for longer than [`PAUSE`], and the platform declares it gone. Its process may
    /// still be resumed later.
    fn declare_gone(&mut self, host: usize) {
        if let Some(node) = &mut self.nodes[host] {
            node.frozen = true;
            self.gone.insert(node.holder.clone());
            self.now_ms += 2 * PAUSE.as_millis() as u64;
        }
    }

    /// One round of the daemon's loop that manages the seats.
    ///
    /// `lost` means that the response to its write is lost, so the process doesn't know that the
    /// table was written.
    fn reconcile(&mut self, host: usize, lost: bool) {
        let now_ms = self.now_ms;
        let quiet_period =
            if self.disabled == Disabled::QuietPeriod { Duration::ZERO } else { quiet_period() };
        let check_usage = self.disabled != Disabled::UsageCheck;
        let mut table = self.table.clone();
        let gone = self.gone.clone();
        let Some(node) = self.running(host) else { return };
        node.apply_table(&table, quiet_period, now_ms);
        let now = node.now(now_ms);
        let plan = if node.leaving {
            node.seat_manager.retire_all();
            node.apply_share(now);
            let clear = node.account.committed() == 0 || !check_usage;
            if clear { node.seat_manager.release_all(&table, now) } else { None }
        } else {
            let plan = node.seat_manager.plan(&table, |holder| gone.contains(holder));
            node.apply_share(now);
            let fits = node.fits(now) || !check_usage;
            plan.or_else(|| if fits { node.seat_manager.release(&table, now) } else { None })
        };
        let Some(written) = plan else { return };
        table = written;
        if !lost {
            node.apply_table(&table, quiet_period, now_ms);
        }
        self.table = table;
    }

    /// Starts up to `count` tasks with a deadline in `ms` milliseconds.
    fn start(&mut self, host: usize, count: u8, ms: u16) {
        let now_ms = self.now_ms;
        let check_pause = self.disabled != Disabled::PauseCheck;
        let ignore_end = self.disabled == Disabled::LoanExpiry;
        for _ in 0..count {
            let Some(node) = self.running(host) else { return };
            let now = node.now(now_ms);
            if check_pause && node.pause_detector.paused(now) {
                return;
            }
            let span = Duration::from_millis(u64::from(ms));
            let end = if ignore_end { now } else { now + span };
            let Some(permit) = node.account.acquire(end, now) else { return };
            let holder = node.holder.clone();
            let deadline_ms = now_ms + u64::from(ms);
            self.in_flight.push(InFlight { holder, host, permit, deadline_ms });
            self.starts_ms.push(now_ms);
        }
    }

    /// Returns the permit of an ended task to the process that started it, if that still exists.
    fn release_permit(&mut self, task: &InFlight) {
        let now_ms = self.now_ms;
        if let Some(node) = &mut self.nodes[task.host]
            && node.holder == task.holder
        {
            let now = node.now(now_ms);
            node.account.release(&task.permit, now);
        }
    }

    fn end(&mut self, task: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let ended = self.in_flight.swap_remove(task % self.in_flight.len());
        self.release_permit(&ended);
    }

    /// Ends the tasks whose deadline has passed.
    fn end_overdue(&mut self) {
        let now_ms = self.now_ms;
        let (due, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|task: &InFlight| task.deadline_ms < now_ms);
        self.in_flight = in_flight;
        let due: Vec<InFlight> = due;
        for task in &due {
            self.release_permit(task);
        }
    }

    /// The host `from` asks the host `to` for a loan, which is then on its way back.
    fn request_loan(&mut self, from: usize, to: usize, tasks: u8, ms: u16) {
        let now_ms = self.now_ms;
        if from == to {
            return;
        }
        let Some(borrower) = self.running(from).map(|node| node.holder.clone()) else { return };
        let check_pause = self.disabled != Disabled::PauseCheck;
        let Some(node) = self.running(to) else { return };
        let now = node.now(now_ms);
        if check_pause && node.pause_detector.paused(now) {
            return;
        }
        let term = Duration::from_millis(u64::from(ms) + LOAN_MARGIN_MS);
        let Some(loan) = node.account.lend(u32::from(tasks), u32::from(tasks), term, now) else {
            return;
        };
        // The response goes from the lender to the borrower.
        let (from, to) = (to, from);
        let asked_ms = now_ms;
        self.messages.push(Message::Lent { from, to, borrower, loan, asked_ms, term });
    }

    /// Delivers a message in flight, or drops it.
    fn deliver(&mut self, message: usize, lost: bool) {
        if self.messages.is_empty() {
            return;
        }
        let now_ms = self.now_ms;
        let message = self.messages.swap_remove(message % self.messages.len());
        if lost {
            return;
        }
        match message {
            Message::Lent { from, to, borrower, loan, asked_ms, term } => {
                let Some(node) = self.running(to) else { return };
                if node.holder == borrower {
                    let asked = node.now(asked_ms);
                    node.account.add_loan(from, loan, term, asked);
                }
            }
            // The process that receives it may be a later one than the lender.
            Message::Repaid { to, key } => {
                if let Some(node) = self.running(to) {
                    let now = node.now(now_ms);
                    node.account.end_lent_loan(key, now);
                }
            }
        }
    }

    /// Repays the loans of a host that were unused for [`LOAN_IDLE`].
    fn repay(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(node) = self.running(host) else { return };
        let now = node.now(now_ms);
        for (to, key) in node.account.take_repayable(LOAN_IDLE, now) {
            self.messages.push(Message::Repaid { to, key });
        }
    }

    /// Oracle: limits the tasks in flight, and the starts in every span of time that ends at the
    /// latest start.
    fn check(&self) -> CheckResult {
        let Allowance { tasks, rate, burst } = self.allowance;
        if self.in_flight.len() > tasks as usize {
            return Err(format!(
                "{} tasks are in flight, but only {tasks} are allowed",
                self.in_flight.len()
            ));
        }
        let starts = &self.starts_ms;
        let Some(last) = starts.last() else { return Ok(()) };
        for (index, first) in starts.iter().enumerate() {
            let count = (starts.len() - index) as f64;
            let allowed = burst + rate * (last - first) as f64 / 1_000.0;
            if count > allowed + ROUNDING {
                return Err(format!(
                    "{count} starts in {} ms, but only {allowed} are allowed",
                    last - first
                ));
            }
        }
        Ok(())
    }
}
