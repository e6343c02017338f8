//! The `explain` command: reconstructs the outcome of a request from the logs of all hosts.

mod timeline;

use crate::check::read_file;
use crate::command::Explain;
use crate::exit::Exit;
use miette::Report;
use serde_json::{Value, json};
use timeline::Timeline;

/// Fields that every line has or that are printed separately. They are not listed with the others.
const SEPARATE_FIELDS: [&str; 7] =
    ["event", "time_ms", "up_ms", "host", "data_centre", "id", "left_out"];

pub fn run(command: &Explain, json: bool) -> Result<Exit, Report> {
    let mut lines = Vec::new();
    for file in &command.files {
        let (_, text) = read_file(file)?;
        lines.extend(Timeline::parse(&text).lines_about(&command.id));
    }
    lines.sort_by_key(|(time_ms, _)| *time_ms);
    let first_ms = lines.first().map_or(0, |(time_ms, _)| *time_ms);
    let (times, lines): (Vec<i64>, Vec<Value>) = lines.into_iter().unzip();
    let cause = find_cause(&lines);
    if json {
        println!("{}", json!({ "id": command.id, "lines": lines, "cause": cause }));
    } else {
        for (time_ms, line) in times.iter().zip(&lines) {
            println!("{}", format_line(line, time_ms - first_ms));
        }
        println!("{cause}");
    }
    Ok(if lines.is_empty() { Exit::Failed } else { Exit::Done })
}

/// Parses a log line. Text before the JSON, such as a timestamp added by a log collector, is skipped.
fn parse_line(line: &str) -> Option<Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

/// Formats a line with its time since the first line, in milliseconds.
fn format_line(line: &Value, elapsed_ms: i64) -> String {
    let text = |name: &str| line[name].as_str().unwrap_or("?").to_owned();
    let fields = line.as_object().into_iter().flatten();
    let fields: Vec<String> = fields
        .filter(|(name, value)| !SEPARATE_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("+{elapsed_ms:>6} ms  {:<16} {:<18} {}", text("host"), text("event"), fields.join(" "))
}

/// Events that answer a job.
const ENDINGS: [&str; 6] =
    ["job_completed", "job_late", "job_failed", "job_not_run", "job_unfinished", "job_cancelled"];

/// Returns a sentence with the cause of the outcome, derived from the event that ended the request.
fn find_cause(lines: &[Value]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line["event"] == event);
    let text = |line: &Value, name: &str| line[name].as_str().unwrap_or("unknown").to_owned();
    let number = |line: &Value, name: &str| line[name].as_f64().unwrap_or_default();
    if let Some(line) = last("request_refused") {
        let status = number(line, "status");
        return format!("refused with {status}: {}", text(line, "why"));
    }
    if let Some(line) = last("job_not_run") {
        return match last("job_refused") {
            Some(refused) => format!(
                "refused by {}: {}; it had waited {} ms and expected {} ms more",
                text(refused, "host"),
                text(refused, "why"),
                number(refused, "waited_ms"),
                number(refused, "expected_wait_ms"),
            ),
            None => format!("refused: {}", text(line, "why")),
        };
    }
    let is_ending =
        |line: &&Value| line["event"].as_str().is_some_and(|event| ENDINGS.contains(&event));
    let ending = lines.iter().rev().find(is_ending);
    let given_up = ending.filter(|line| line["event"] == "job_unfinished");
    if let (Some(line), Some(quarantined)) = (given_up, last("task_quarantined")) {
        return format!(
            "given up after {} ms: {} upstreams were lost under task {}, {} of them as by a crash, \
             and it is not started again",
            number(line, "age_ms"),
            number(quarantined, "losses"),
            text(quarantined, "task"),
            number(quarantined, "crashes"),
        );
    }
    if let Some(line) = last("job_failed") {
        let failures = lines.iter().filter(|line| line["how"] == "failed").count();
        return format!(
            "failed after {} ms: a task failed as often as it may ({failures} failed runs)",
            number(line, "age_ms")
        );
    }
    if let Some(line) = last("job_unfinished") {
        return format!(
            "not finished after {} ms: {}{}",
            number(line, "age_ms"),
            text(line, "why"),
            runs_without_result(lines)
        );
    }
    if let Some(line) = last("job_late") {
        return format!(
            "late: {} ms, wanted within {} ms{}",
            number(line, "age_ms"),
            number(line, "objective_ms"),
            runs_without_result(lines)
        );
    }
    if last("job_completed").is_some() {
        return "answered in time".to_owned();
    }
    "no line tells how it ended: the host that took it may have died, or its caller left".to_owned()
}

/// Returns the runs without a result as a suffix to the cause. Empty if there are none.
fn runs_without_result(lines: &[Value]) -> String {
    let ended = lines.iter().filter(|line| line["event"] == "run_ended");
    let runs: Vec<String> = ended
        .map(|line| {
            let text = |name: &str| line[name].as_str().unwrap_or("?");
            format!("{} {} on {}", text("task"), text("how"), text("upstream"))
        })
        .collect();
    if runs.is_empty() {
        String::new()
    } else {
        format!("; runs without result: {}", runs.join(", "))
    }
}
