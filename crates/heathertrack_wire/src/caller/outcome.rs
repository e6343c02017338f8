use super::{Answer, Problem};
use serde::{Deserialize, Serialize};

/// Result of a job: the answers of all tasks, or a problem and no answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answers of all tasks, in task order.
    Complete(Vec<Answer>),
    /// Why the job has no answers, and whether any of it may have run.
    Problem(Problem),
}

impl Outcome {
    /// Returns the status of the HTTP response.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Complete(_) => 200,
            Outcome::Problem(problem) => problem.status(),
        }
    }

    /// Returns the body of the HTTP response.
    pub fn body(&self) -> Vec<u8> {
        match self {
            Outcome::Complete(answers) => answers_json(answers),
            Outcome::Problem(problem) => {
                serde_json::to_vec(&problem.document()).expect("a problem is always JSON")
            }
        }
    }

    /// Returns the approximate memory use, in bytes: the texts, and an overhead for each answer and
    /// for the outcome itself.
    pub fn memory_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 64;
        let answers = match self {
            Outcome::Complete(answers) => {
                answers.iter().map(|answer| answer.body.len() + OVERHEAD_BYTES).sum()
            }
            Outcome::Problem(problem) => problem.detail.len(),
        };
        answers + OVERHEAD_BYTES
    }
}

fn answers_json(answers: &[Answer]) -> Vec<u8> {
    let mut out = b"{\"answers\":[".to_vec();
    for (index, answer) in answers.iter().enumerate() {
        if index > 0 {
            out.push(b',');
        }
        answer.append_json(&mut out);
    }
    out.extend_from_slice(b"]}");
    out
}
