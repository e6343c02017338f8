//! The `explain` command: reconstructs the outcome of a request from the logs of all hosts.

use crate::check::read_file;
use crate::command::Explain;
use crate::exit::Exit;
use miette::Report;
use serde_json::{Value, json};

/// Fields that every line has or that are printed separately. They are not listed with the others.
const SEPARATE_FIELDS: [&str; 6] = ["event", "time_ms", "host", "data_centre", "id", "left_out"];

pub fn run(command: &Explain, json: bool) -> Result<Exit, Report> {
    let mut lines = Vec::new();
    for file in &command.files {
        let (_, text) = read_file(file)?;
        lines.extend(text.lines().filter_map(|line| parse_line(line, &command.id)));
    }
    lines.sort_by_key(|line| line["time_ms"].as_u64());
    let cause = find_cause(&lines);
    if json {
        println!("{}", json!({ "id": command.id, "lines": lines, "cause": cause }));
    } else {
        let first_ms = lines.first().and_then(|line| line["time_ms"].as_u64()).unwrap_or_default();
        for line in &lines {
            println!("{}", format_line(line, first_ms));
        }
        println!("{cause}");
    }
    Ok(if lines.is_empty() { Exit::Failed } else { Exit::Done })
}

/// Parses a log line, and returns it if it is about the request. Text before the JSON, such as a
/// timestamp added by a log collector, is skipped. The `id` of a refused request is its path, which
/// ends with the identifier of the job.
fn parse_line(line: &str, id: &str) -> Option<Value> {
    let value: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    value["id"].as_str().is_some_and(|logged| logged == id || logged.ends_with(id)).then_some(value)
}

/// Formats a line with its time since the first line, both in milliseconds.
fn format_line(line: &Value, first_ms: u64) -> String {
    let text = |name: &str| line[name].as_str().unwrap_or("?").to_owned();
    let elapsed_ms = line["time_ms"].as_u64().unwrap_or_default().saturating_sub(first_ms);
    let fields = line.as_object().into_iter().flatten();
    let fields: Vec<String> = fields
        .filter(|(name, value)| !SEPARATE_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("+{elapsed_ms:>6} ms  {:<16} {:<18} {}", text("host"), text("event"), fields.join(" "))
}

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
