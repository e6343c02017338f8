use super::{Answer, Problem};
use serde::{Deserialize, Serialize};

/// How a job ended: with every answer, or with none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task's answer, in task order.
    Complete(Vec<Answer>),
    /// No answer, and what is known of its tasks.
    Problem(Problem),
}

impl Outcome {
    /// Status of the HTTP response.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Complete(_) => 200,
            Outcome::Problem(problem) => problem.status(),
        }
    }

    /// Body of the HTTP response.
    pub fn body(&self) -> Vec<u8> {
        match self {
            Outcome::Complete(answers) => write_answers(answers),
            Outcome::Problem(problem) => {
                serde_json::to_vec(&problem.document()).expect("a problem is always JSON")
            }
        }
    }

    /// Bytes that it takes in memory, about.
    pub fn bytes(&self) -> usize {
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

fn write_answers(answers: &[Answer]) -> Vec<u8> {
    let mut out = b"{\"answers\":[".to_vec();
    for (index, answer) in answers.iter().enumerate() {
        if index > 0 {
            out.push(b',');
        }
        answer.write(&mut out);
    }
    out.extend_from_slice(b"]}");
    out
}
