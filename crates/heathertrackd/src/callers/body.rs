//! Reads the bodies of callers' requests.

use heathertrack::run::ExecutionStatus;
use heathertrack_wire::caller::{MAX_BODY_BYTES, Problem, ProblemKind};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Duration;

/// Time within which a request's body must have arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a request's whole body as text. A body that can't be read is reported as not run, since it
/// was never accepted under any key.
pub async fn read(body: &mut Incoming) -> Result<String, Problem> {
    let limited = Limited::new(body, MAX_BODY_BYTES);
    let collected = match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            return Err(Problem::new(ProblemKind::TooLarge, ExecutionStatus::NotRun, detail));
        }
        Ok(Err(error)) => return Err(bad(format!("the body broke off: {error}"))),
        Err(_) => return Err(bad("the body came too slowly".to_owned())),
    };
    let bytes = collected.to_bytes().to_vec();
    String::from_utf8(bytes).map_err(|_| bad("the body is not UTF-8".to_owned()))
}

fn bad(detail: String) -> Problem {
    Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, detail)
}
