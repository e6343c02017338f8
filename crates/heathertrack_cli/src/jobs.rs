//! The `submit`, `cancel` and `watch` commands. They print the host's response as received, with or
//! without `--json`.

use crate::check;
use crate::command::{Cancel, Submit, Watch};
use crate::exit::Exit;
use bytes::Bytes;
use heathertrack_platform::{CallError, Client};
use heathertrack_wire::caller::Job;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use uuid::Uuid;

const TOKEN_VARIABLE: &str = "HEATHERTRACK_TOKEN";
/// Time to wait for an answer: the longest deadline that a plan can allow.
const TIMEOUT: Duration = Duration::from_secs(3_600);

/// Submits a job and prints its answer.
pub async fn submit(command: &Submit, json: bool) -> Result<Exit, Report> {
    let (name, text) = check::read_file(&command.file)?;
    if let Err(findings) = Job::parse(&text) {
        eprintln!("{:?}", Report::new(findings).wrap_err(name));
        return Ok(Exit::Findings);
    }
    let key = command.key.clone().unwrap_or_else(|| Uuid::now_v7().to_string());
    if !json {
        eprintln!("key {key}");
    }
    let request = new_request(Method::POST, &command.host, "/v1/jobs")?;
    let request = request.header("idempotency-key", &key);
    print_response(send(request, text).await, &command.host, &key)
}

/// Cancels a job and prints the host's response.
pub async fn cancel(command: &Cancel, _json: bool) -> Result<Exit, Report> {
    let path = format!("/v1/jobs/{}", command.key);
    let request = new_request(Method::DELETE, &command.host, &path)?;
    print_response(send(request, String::new()).await, &command.host, &command.key)
}

/// Waits for a job and prints its answer.
pub async fn watch(command: &Watch, _json: bool) -> Result<Exit, Report> {
    let path = format!("/v1/jobs/{}", command.key);
    let request = new_request(Method::GET, &command.host, &path)?;
    print_response(send(request, String::new()).await, &command.host, &command.key)
}

/// Builds a request to a host, without its body.
fn new_request(
    method: Method,
    host: &SocketAddr,
    path: &str,
) -> Result<hyper::http::request::Builder, Report> {
    let token = std::env::var(TOKEN_VARIABLE)
        .map_err(|_| miette!("the token is missing: set {TOKEN_VARIABLE}"))?;
    let builder = Request::builder().method(method).uri(format!("http://{host}{path}"));
    Ok(builder.header("authorization", format!("Bearer {token}")))
}

/// Sends a request, and returns the status and body of the response.
async fn send(
    request: hyper::http::request::Builder,
    body: String,
) -> Result<(StatusCode, Bytes), CallError> {
    let request = request.body(Full::new(Bytes::from(body)));
    // A request that cannot be built, for example because of its key, is never sent. `Unreachable`
    // is the error for which nothing was sent.
    let request = request.map_err(|error| CallError::Unreachable(error.to_string()))?;
    Client::new(TIMEOUT).send(request).await
}

/// Prints the body of a response, and returns the exit status. The body of a response other than 200
/// is a JSON object whose member `run` says whether the job may have run; anything but `not_run`
/// counts as may have run.
fn print_response(
    response: Result<(StatusCode, Bytes), CallError>,
    host: &SocketAddr,
    key: &str,
) -> Result<Exit, Report> {
    let (status, body) = match response {
        Ok(response) => response,
        Err(CallError::Unreachable(reason) | CallError::Refused(reason)) => {
            return Err(miette!("cannot send the request to {host}: {reason}"));
        }
        Err(error) => {
            return Err(miette!(
                "no usable answer from {host}: {error}; the job may have run, its key is {key}"
            ));
        }
    };
    println!("{}", String::from_utf8_lossy(&body));
    if status == StatusCode::OK {
        return Ok(Exit::Done);
    }
    let problem: Value = serde_json::from_slice(&body).into_diagnostic().wrap_err_with(|| {
        format!("{host} answered with status {status} and a body that is not JSON")
    })?;
    Ok(if problem["run"] == "not_run" { Exit::NotRun } else { Exit::MayHaveRun })
}
