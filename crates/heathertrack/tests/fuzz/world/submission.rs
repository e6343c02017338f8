use heathertrack::ticket::Home;

/// A submission or cancellation in flight.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Index of the key.
    pub key: usize,
    /// Index of the host that received it from the caller.
    pub entry_host: usize,
    pub body: u8,
    /// Whether this is a cancellation.
    pub cancel: bool,
    pub stage: Stage,
}

/// Progress of a submission or cancellation.
#[derive(Clone, Debug)]
pub enum Stage {
    /// At the entry host, not checked yet.
    Received,
    /// About to claim the key in the store, after `tries` lost responses.
    Claiming { tries: u32 },
    /// On the way to the home.
    Forwarded { home: Home },
    /// At the home, waiting for the outcome of the job.
    Waiting { job: usize },
}
