use heathertrack::run::ExecutionStatus;
use serde::{Deserialize, Serialize};

/// Reason why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProblemKind {
    /// The request is malformed. [`Problem::findings`] says where.
    BadRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The ticket belongs to another customer, or is forged.
    ForeignTicket,
    /// The path does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// There is no record of the key.
    UnknownKey,
    /// The body is too large.
    TooLarge,
    /// The key was already used with another body.
    KeyConflict,
    /// The job exceeds what its plan allows.
    OverPlan,
    /// One of the tasks fits no worker.
    FitsNowhere,
    /// The plan's allowance stays used up until after the deadline of the job.
    AllowanceUsed,
    /// The deadline can't be met.
    DeadlineTooShort,
    /// The host is draining and takes no new work.
    Draining,
    /// The host can't take work, for example because it has no plans or allowances yet.
    NotReady,
    /// The platform's store did not confirm the claim of the key.
    StoreUnavailable,
    /// The key is too old to be accepted.
    KeyTooOld,
    /// The creation time of the key is in the future.
    KeyAhead,
    /// The home of the key is gone.
    HomeGone,
    /// The home of the key cannot be reached.
    HomeUnreachable,
    /// The job has ended, but its answer is no longer kept.
    AnswerDropped,
    /// The job was cancelled.
    Cancelled,
    /// A task failed.
    TaskFailed,
    /// The deadline has passed.
    DeadlinePassed,
}

impl ProblemKind {
    /// Returns the status of the HTTP response.
    pub fn status(self) -> u16 {
        match self {
            ProblemKind::BadRequest => 400,
            ProblemKind::Unauthorized => 401,
            ProblemKind::ForeignTicket | ProblemKind::OverPlan => 403,
            ProblemKind::NotFound | ProblemKind::UnknownKey => 404,
            ProblemKind::MethodNotAllowed => 405,
            ProblemKind::Cancelled => 409,
            ProblemKind::HomeGone | ProblemKind::AnswerDropped | ProblemKind::KeyTooOld => 410,
            ProblemKind::TooLarge => 413,
            ProblemKind::KeyConflict | ProblemKind::FitsNowhere | ProblemKind::KeyAhead => 422,
            ProblemKind::AllowanceUsed => 429,
            ProblemKind::TaskFailed => 502,
            ProblemKind::DeadlineTooShort
            | ProblemKind::Draining
            | ProblemKind::NotReady
            | ProblemKind::StoreUnavailable
            | ProblemKind::HomeUnreachable => 503,
            ProblemKind::DeadlinePassed => 504,
        }
    }

    /// Returns the name used in problem documents, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ProblemKind::BadRequest => "bad-request",
            ProblemKind::Unauthorized => "unauthorized",
            ProblemKind::ForeignTicket => "foreign-ticket",
            ProblemKind::NotFound => "not-found",
            ProblemKind::MethodNotAllowed => "method-not-allowed",
            ProblemKind::UnknownKey => "unknown-key",
            ProblemKind::TooLarge => "too-large",
            ProblemKind::KeyConflict => "key-conflict",
            ProblemKind::OverPlan => "over-plan",
            ProblemKind::FitsNowhere => "fits-nowhere",
            ProblemKind::AllowanceUsed => "allowance-used",
            ProblemKind::DeadlineTooShort => "deadline-too-short",
            ProblemKind::Draining => "draining",
            ProblemKind::NotReady => "not-ready",
            ProblemKind::StoreUnavailable => "store-unavailable",
            ProblemKind::KeyTooOld => "key-too-old",
            ProblemKind::KeyAhead => "key-ahead",
            ProblemKind::HomeGone => "home-gone",
            ProblemKind::HomeUnreachable => "home-unreachable",
            ProblemKind::AnswerDropped => "answer-dropped",
            ProblemKind::Cancelled => "cancelled",
            ProblemKind::TaskFailed => "task-failed",
            ProblemKind::DeadlinePassed => "deadline-passed",
        }
    }
}

/// An error at one place of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of field names and indices to the faulty value.
    pub path: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number, starting at 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

/// Problem returned in place of an answer, with whether the job may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Reason why there is no answer.
    pub kind: ProblemKind,
    /// Explanation for a human reader.
    pub detail: String,
    /// Whether any part of the job may have run.
    pub may_have_run: bool,
    /// Delay before the next attempt, in milliseconds, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
    /// Errors found in the request.
    pub findings: Vec<Finding>,
}

impl Problem {
    /// Creates a problem without a retry delay or findings.
    pub fn new(kind: ProblemKind, run: ExecutionStatus, detail: impl Into<String>) -> Self {
        Problem {
            kind,
            detail: detail.into(),
            may_have_run: run == ExecutionStatus::MayHaveRun,
            retry_after_ms: None,
            findings: Vec::new(),
        }
    }

    /// Sets the delay before the next attempt, in milliseconds.
    pub fn retry_after_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Sets the findings in the request.
    pub fn findings(mut self, findings: &heathertrack_document::Findings) -> Self {
        let convert = |finding: &heathertrack_document::Finding| Finding {
            path: finding.path.clone(),
            line: finding.line,
            column: finding.column,
            message: finding.message.clone(),
        };
        self.findings = findings.iter().map(convert).collect();
        self
    }

    /// Returns the status of the HTTP response.
    pub fn status(&self) -> u16 {
        self.kind.status()
    }

    /// Returns the problem as an RFC 9457 document.
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
    /// `not_run` or `may_have_run`.
    run: &'a str,
    #[serde(skip_serializing_if = "<[Finding]>::is_empty")]
    findings: &'a [Finding],
}
