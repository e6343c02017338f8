use heathertrack::run::Run;
use serde::{Deserialize, Serialize};

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The request is malformed; the findings say where.
    BadRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The ticket belongs to another customer, or is forged.
    ForeignTicket,
    /// No such path.
    NotFound,
    /// The path takes another method.
    MethodNotAllowed,
    /// Nothing is known of this key.
    UnknownKey,
    /// The body is too large.
    TooLarge,
    /// The key was used with another body.
    KeyConflict,
    /// The job exceeds what its plan allows.
    OverPlan,
    /// No worker can run one of the tasks.
    FitsNowhere,
    /// The plan's allowance is used up for too long.
    AllowanceUsed,
    /// The deadline can't be met.
    DeadlineTooShort,
    /// The host takes no new work.
    Draining,
    /// The host has no lists yet, or is otherwise not able to take work.
    NotReady,
    /// The platform's store did not confirm the key.
    StoreUnavailable,
    /// The key is past its time.
    KeyTooOld,
    /// The key's time lies ahead.
    KeyAhead,
    /// The process that keeps the key's record is gone.
    HomeGone,
    /// The process that keeps the key's record can't be reached.
    HomeUnreachable,
    /// The answer was given before and is no longer kept.
    AnswerDropped,
    /// The job was cancelled.
    Cancelled,
    /// A task failed.
    TaskFailed,
    /// The deadline came.
    DeadlinePassed,
}

impl Kind {
    /// Status of the HTTP response.
    pub fn status(self) -> u16 {
        match self {
            Kind::BadRequest => 400,
            Kind::Unauthorized => 401,
            Kind::ForeignTicket | Kind::OverPlan => 403,
            Kind::NotFound | Kind::UnknownKey => 404,
            Kind::MethodNotAllowed => 405,
            Kind::Cancelled => 409,
            Kind::HomeGone | Kind::AnswerDropped | Kind::KeyTooOld => 410,
            Kind::TooLarge => 413,
            Kind::KeyConflict | Kind::FitsNowhere | Kind::KeyAhead => 422,
            Kind::AllowanceUsed => 429,
            Kind::TaskFailed => 502,
            Kind::DeadlineTooShort
            | Kind::Draining
            | Kind::NotReady
            | Kind::StoreUnavailable
            | Kind::HomeUnreachable => 503,
            Kind::DeadlinePassed => 504,
        }
    }

    /// Name used in documents, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad-request",
            Kind::Unauthorized => "unauthorized",
            Kind::ForeignTicket => "foreign-ticket",
            Kind::NotFound => "not-found",
            Kind::MethodNotAllowed => "method-not-allowed",
            Kind::UnknownKey => "unknown-key",
            Kind::TooLarge => "too-large",
            Kind::KeyConflict => "key-conflict",
            Kind::OverPlan => "over-plan",
            Kind::FitsNowhere => "fits-nowhere",
            Kind::AllowanceUsed => "allowance-used",
            Kind::DeadlineTooShort => "deadline-too-short",
            Kind::Draining => "draining",
            Kind::NotReady => "not-ready",
            Kind::StoreUnavailable => "store-unavailable",
            Kind::KeyTooOld => "key-too-old",
            Kind::KeyAhead => "key-ahead",
            Kind::HomeGone => "home-gone",
            Kind::HomeUnreachable => "home-unreachable",
            Kind::AnswerDropped => "answer-dropped",
            Kind::Cancelled => "cancelled",
            Kind::TaskFailed => "task-failed",
            Kind::DeadlinePassed => "deadline-passed",
        }
    }
}

/// One finding in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of fields and indices.
    pub path: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

/// Why there is no answer, and whether anything ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Why.
    pub kind: Kind,
    /// Why, in words.
    pub detail: String,
    /// Whether something may have run.
    pub may_have_run: bool,
    /// When to try again, in milliseconds, if that may help.
    pub retry_after_ms: Option<u64>,
    /// What is wrong in the request.
    pub findings: Vec<Fault>,
}

impl Problem {
    /// A problem of this kind.
    pub fn new(kind: Kind, run: Run, detail: impl Into<String>) -> Self {
        Problem {
            kind,
            detail: detail.into(),
            may_have_run: run == Run::MayHaveRun,
            retry_after_ms: None,
            findings: Vec::new(),
        }
    }

    /// Says when to try again.
    pub fn retry_after_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Says what is wrong in the request.
    pub fn findings(mut self, findings: &heathertrack_document::Findings) -> Self {
        let fault = |finding: &heathertrack_document::Finding| Fault {
            path: finding.path.clone(),
            line: finding.line,
            column: finding.column,
            message: finding.message.clone(),
        };
        self.findings = findings.iter().map(fault).collect();
        self
    }

    /// Status of the HTTP response.
    pub fn status(&self) -> u16 {
        self.kind.status()
    }

    /// The problem as an RFC 9457 document.
    pub fn document(&self) -> Document<'_> {
        Document {
            kind: format!("urn:heathertrack:{}", self.kind.name()),
            title: self.kind.name(),
            status: self.status(),
            detail: &self.detail,
            run: if self.may_have_run { "may_have_run" } else { "not_run" },
            findings: &self.findings,
        }
    }
}

/// An RFC 9457 problem document.
#[derive(Debug, Serialize)]
pub struct Document<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    run: &'a str,
    #[serde(skip_serializing_if = "<[Fault]>::is_empty")]
    findings: &'a [Fault],
}
