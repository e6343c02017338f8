use spdlog::Level;

/// Everything that the daemon logs. Never holds a token or a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process listens.
    Started(String),
    /// It was asked to stop.
    Draining,
    /// It handed its records to a peer.
    HandedOver(String),
    /// No peer took its records.
    NotHandedOver(String),
    /// It stops now.
    Stopped,
    /// A list came into force.
    ListInForce(&'static str, u64),
    /// A list has faults; the last good one stays in force.
    ListFaulty(&'static str, String),
    /// A call to the platform failed.
    PlatformFault(&'static str, String),
    /// A peer went silent or came back.
    PeerChanged(String, &'static str),
    /// An upstream was ejected for its failures.
    UpstreamEjected(String),
    /// A job was refused before anything of it started.
    JobRefused(JobEvent),
    /// A job ended without an answer.
    JobFailed(JobEvent),
    /// The process was paused; it uses no share until it has confirmed it.
    Paused,
    /// A loop of the daemon ended against expectation.
    LoopEnded(&'static str),
}

/// What is logged of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobEvent {
    /// Its key.
    pub key: String,
    /// The customer.
    pub customer: String,
    /// What happened.
    pub detail: String,
}

impl Event {
    /// Name of the event.
    pub fn name(&self) -> &'static str {
        match self {
            Event::Started(_) => "started",
            Event::Draining => "draining",
            Event::HandedOver(_) => "handed_over",
            Event::NotHandedOver(_) => "not_handed_over",
            Event::Stopped => "stopped",
            Event::ListInForce(..) => "list_in_force",
            Event::ListFaulty(..) => "list_faulty",
            Event::PlatformFault(..) => "platform_fault",
            Event::PeerChanged(..) => "peer_changed",
            Event::UpstreamEjected(_) => "upstream_ejected",
            Event::JobRefused(_) => "job_refused",
            Event::JobFailed(_) => "job_failed",
            Event::Paused => "paused",
            Event::LoopEnded(_) => "loop_ended",
        }
    }

    /// How severe it is.
    pub fn level(&self) -> Level {
        match self {
            Event::ListFaulty(..) | Event::NotHandedOver(_) | Event::LoopEnded(_) => Level::Error,
            Event::PeerChanged(_, "alive") => Level::Info,
            Event::PlatformFault(..)
            | Event::PeerChanged(..)
            | Event::UpstreamEjected(_)
            | Event::Paused
            | Event::JobFailed(_) => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Key of the job that it is about.
    pub fn key(&self) -> &str {
        self.job().map_or("", |job| &job.key)
    }

    /// Customer that it is about.
    pub fn customer(&self) -> &str {
        self.job().map_or("", |job| &job.customer)
    }

    /// The rest, in words.
    pub fn detail(&self) -> String {
        match self {
            Event::Started(text)
            | Event::HandedOver(text)
            | Event::NotHandedOver(text)
            | Event::UpstreamEjected(text) => text.clone(),
            Event::ListInForce(list, revision) => format!("{list} at revision {revision}"),
            Event::ListFaulty(list, findings) => format!("{list}: {findings}"),
            Event::PlatformFault(what, fault) => format!("{what}: {fault}"),
            Event::PeerChanged(peer, state) => format!("{peer} is {state}"),
            Event::JobRefused(job) | Event::JobFailed(job) => job.detail.clone(),
            Event::LoopEnded(name) => (*name).to_owned(),
            Event::Draining | Event::Stopped | Event::Paused => String::new(),
        }
    }

    fn job(&self) -> Option<&JobEvent> {
        match self {
            Event::JobRefused(job) | Event::JobFailed(job) => Some(job),
            _ => None,
        }
    }
}
