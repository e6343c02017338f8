use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::Instant;

/// An emulated process: a set of tasks that are suspended and killed together.
#[derive(Clone, Debug)]
pub struct Process {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    tasks: RefCell<LocalSet>,
    suspended: Cell<bool>,
    end: ProcessEnd,
    /// Wakes the [`ProcessFuture`].
    waker: RefCell<Option<Waker>>,
}

impl Process {
    /// Creates a process without tasks.
    pub fn new() -> Self {
        let inner = Rc::new(Inner {
            tasks: RefCell::new(LocalSet::new()),
            suspended: Cell::new(false),
            end: ProcessEnd::default(),
            waker: RefCell::new(None),
        });
        spawn_local(ProcessFuture(inner.clone()));
        Process { inner }
    }

    /// Spawns a task in the process.
    pub fn spawn<T: 'static>(&self, task: impl Future<Output = T> + 'static) -> JoinHandle<T> {
        let handle = self.inner.tasks.borrow().spawn_local(task);
        self.wake();
        handle
    }

    /// Suspends or resumes the process.
    pub fn set_suspended(&self, suspended: bool) {
        self.inner.suspended.set(suspended);
        self.wake();
    }

    /// Returns whether the process is suspended.
    pub fn is_suspended(&self) -> bool {
        self.inner.suspended.get()
    }

    /// Kills the process and drops all its tasks.
    pub fn kill(&self) {
        self.inner.end.record();
        let tasks = self.inner.tasks.replace(LocalSet::new());
        drop(tasks);
        self.wake();
    }

    /// Returns whether the process has been killed.
    pub fn is_killed(&self) -> bool {
        self.inner.end.at().is_some()
    }

    /// Returns when the process was killed, which stays up to date.
    pub fn end(&self) -> ProcessEnd {
        self.inner.end.clone()
    }

    /// Makes the runtime poll the process.
    fn wake(&self) {
        if let Some(waker) = self.inner.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }
}

/// When a process was killed.
#[derive(Clone, Debug, Default)]
pub struct ProcessEnd(Rc<Cell<Option<Instant>>>);

impl ProcessEnd {
    /// Returns the time at which the process was killed, or `None` while it exists.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }

    fn record(&self) {
        if self.at().is_none() {
            self.0.set(Some(Instant::now()));
        }
    }
}

/// Polls the tasks of a process until it is killed, except while it is suspended.
struct ProcessFuture(Rc<Inner>);

impl Future for ProcessFuture {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        *self.0.waker.borrow_mut() = Some(context.waker().clone());
        if self.0.end.at().is_some() {
            return Poll::Ready(());
        }
        if self.0.suspended.get() {
            return Poll::Pending;
        }
        let mut tasks = self.0.tasks.borrow_mut();
        // The set is ready when it has no tasks, but more may be added later.
        let _ = Pin::new(&mut *tasks).poll(context);
        Poll::Pending
    }
}
