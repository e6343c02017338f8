use heathertrack::ticket::Home;

/// A submission or cancellation in flight.
#[derive(Clone, Debug)]
pub struct Submission {
    pub key: usize,
    pub entry_host: usize,
    pub body: u8,
    pub cancel: bool,
    pub stage: Stage,
}

/// Progress of a submission or cancellation.
#[derive(Clone, Debug)]
pub enum Stage {
    Received,
    Claiming { tries: u32 },
    Forwarded { home: Home },
    Waiting { job: usize },
}
