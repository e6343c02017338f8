use spdlog::Level;

/// An event that the daemon logs. It never holds a token or a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process listens for callers. Holds their address.
    Started(String),
    /// The process was asked to stop.
    Draining,
    /// The process handed its records to a peer. Holds the peer's name.
    HandedOver(String),
    /// No peer took the records of the process. Holds their number, as text.
    NotHandedOver(String),
    /// The process has drained and ends.
    Stopped,
    /// A list came into force. Holds its name and its revision.
    ListInForce(&'static str, u64),
    /// A list is invalid; the last valid one stays in force. Holds its name and the findings.
    ListFaulty(&'static str, String),
    /// A call to the platform failed. Holds the purpose of the call and the error.
    PlatformFault(&'static str, String),
    /// A peer became unresponsive, started to drain or came back. Holds its name and its new state.
    PeerChanged(String, &'static str),
    /// An upstream was ejected after failures. Holds its name.
    UpstreamEjected(String),
    /// A job was refused before any of its tasks started.
    JobRefused(JobEvent),
    /// A job ended without an answer.
    JobFailed(JobEvent),
    /// The process was suspended. It does not use its share of the allowances until the share is
    /// confirmed.
    Paused,
    /// A background loop of the daemon ended unexpectedly. Holds the name of the loop.
    LoopEnded(&'static str),
}

/// Details that are logged about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobEvent {
    /// Key of the job.
    pub key: String,
    /// Customer who submitted it.
    pub customer: String,
    /// Reason of the refusal or failure.
    pub detail: String,
}

impl Event {
    /// Returns the name of the event.
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

    /// Returns the log level of the event.
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

    /// Returns the key of the job concerned, or an empty string.
    pub fn key(&self) -> &str {
        self.job().map_or("", |job| &job.key)
    }

    /// Returns the customer concerned, or an empty string.
    pub fn customer(&self) -> &str {
        self.job().map_or("", |job| &job.customer)
    }

    /// Returns the other details as text.
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
