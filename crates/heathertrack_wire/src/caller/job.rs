use super::Task;
use heathertrack::name::Label;
use heathertrack_document::{Findings, Node, read};
use std::time::Duration;

/// Maximum size of a job's body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Upper limit for the tasks per job that a plan can allow.
pub const MAX_TASKS: usize = 1_000;
/// Upper limit for the deadline that a plan can allow, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Class of the job: run times are estimated for each class.
    pub class: String,
    /// Time from submission within which the job must be answered.
    pub deadline: Duration,
    /// Tasks of the job. Their answers are returned in the same order.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Parses the body of a job. On failure returns all findings, not only the first.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        read("the job", text, Job::from_node)
    }

    fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let class = match fields.optional("class") {
            Some(node) => read_class(&node, findings),
            None => Some("default".to_owned()),
        };
        let deadline = fields
            .required("deadline_ms", findings)
            .and_then(|node| node.integer(1..=MAX_DEADLINE_MS, findings));
        let tasks = fields.required("tasks", findings).and_then(|node| read_tasks(&node, findings));
        fields.finish(findings);
        Some(Job { class: class?, deadline: Duration::from_millis(deadline?), tasks: tasks? })
    }
}

fn read_class(node: &Node, findings: &mut Findings) -> Option<String> {
    let text = node.string(findings)?;
    match Label::parse(text) {
        Ok(label) => Some(label.as_str().to_owned()),
        Err(error) => {
            node.reject(error.to_string(), findings);
            None
        }
    }
}

fn read_tasks(node: &Node, findings: &mut Findings) -> Option<Vec<Task>> {
    let items = node.items(findings)?;
    if items.is_empty() {
        node.reject("must hold at least one task", findings);
        return None;
    }
    if items.len() > MAX_TASKS {
        node.reject(format!("must hold at most {MAX_TASKS} tasks"), findings);
        return None;
    }
    let tasks: Vec<Option<Task>> =
        items.iter().map(|item| Task::from_node(item, findings)).collect();
    tasks.into_iter().collect()
}
