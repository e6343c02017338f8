use heathertrack::ticket::Home;

/// A submission, or a cancellation, on its way.
#[derive(Clone, Debug)]
pub struct Flight {
    pub key: usize,
    pub front: usize,
    pub body: u8,
    pub cancel: bool,
    pub place: Place,
}

/// Where it is.
#[derive(Clone, Debug)]
pub enum Place {
    Front,
    Claiming { tries: u32 },
    Forwarded { home: Home },
    Waiting { job: usize },
}
