use heathertrack::ticket::Home;

/// A submission or cancellation in flight.
#[derive(Clone, Debug)]
pub struct Flight {
    pub key: usize,
    pub front: usize,
    pub body: u8,
    pub cancel: bool,
    pub place: Place,
}

/// Progress of a submission or cancellation.
#[derive(Clone, Debug)]
pub enum Place {
    Front,
    Claiming { tries: u32 },
    Forwarded { home: Home },
    Waiting { job: usize },
}
