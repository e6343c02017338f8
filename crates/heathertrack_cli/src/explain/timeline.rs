use super::parse_line;
use serde_json::Value;

/// Log of one host, with a time for each line that doesn't jump with the host's time of day.
///
/// Within a process, lines are placed by its steady clock (`up_ms`). The process itself is placed by
/// the median difference between both clocks, which a jump changes only if it lasts for most of the
/// process's lines.
pub struct Timeline {
    /// Lines of each process of the host, in the order of the file.
    processes: Vec<Vec<Value>>,
}

impl Timeline {
    /// Parses the text of a log file. Lines that are not JSON are skipped.
    pub fn parse(text: &str) -> Self {
        let mut processes = vec![Vec::new()];
        for line in text.lines().filter_map(parse_line) {
            if line["event"] == "started" {
                processes.push(Vec::new());
            }
            if let Some(process) = processes.last_mut() {
                process.push(line);
            }
        }
        Timeline { processes }
    }

    /// Returns the lines about a request, each with its time in milliseconds. The `id` of a refused
    /// request is its path, which ends with the identifier of the job.
    pub fn lines_about(self, id: &str) -> Vec<(i64, Value)> {
        let mut found = Vec::new();
        for process in self.processes {
            let offset = median_offset_ms(&process);
            let lines = process.into_iter().filter(|line| is_about(line, id));
            found.extend(lines.map(|line| (line_time_ms(&line, offset), line)));
        }
        found
    }
}

/// Returns whether a line is about a job: by its `id`, or as the job of one of several `tasks`, whose
/// names begin with that of their job.
fn is_about(line: &Value, id: &str) -> bool {
    let is_of_job = |task: &Value| {
        task.as_str().and_then(|task| task.split_once('.')).is_some_and(|(job, _)| job == id)
    };
    line["id"].as_str().is_some_and(|logged| logged == id || logged.ends_with(id))
        || line["tasks"].as_array().is_some_and(|tasks| tasks.iter().any(is_of_job))
}

/// Returns the median difference between the time of day and the steady clock, or `None` if no line
/// holds both: earlier releases write no `up_ms`.
fn median_offset_ms(lines: &[Value]) -> Option<i64> {
    let offset = |line: &Value| Some(line["time_ms"].as_i64()? - line["up_ms"].as_i64()?);
    let mut offsets: Vec<i64> = lines.iter().filter_map(offset).collect();
    offsets.sort_unstable();
    offsets.get(offsets.len() / 2).copied()
}

fn line_time_ms(line: &Value, offset_ms: Option<i64>) -> i64 {
    let steady = offset_ms.and_then(|offset| Some(line["up_ms"].as_i64()? + offset));
    steady.unwrap_or_else(|| line["time_ms"].as_i64().unwrap_or_default())
}
