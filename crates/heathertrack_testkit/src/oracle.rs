//! Oracle that checks the answers to callers against the starts recorded by upstreams.

use crate::client::Answer;
use crate::upstream::Start;
use std::collections::BTreeMap;

/// Answers to all jobs of a test, by idempotency key.
#[derive(Debug, Default)]
pub struct Oracle {
    jobs: BTreeMap<String, Job>,
}

#[derive(Debug, Default)]
struct Job {
    tasks: usize,
    answers: Vec<TimedAnswer>,
}

/// Answer to a caller with the time of its arrival, in Unix microseconds.
#[derive(Debug)]
struct TimedAnswer {
    answer: Answer,
    at_us: u64,
}

/// Recorded starts by task key, which is `<key of the job>/<index of the task>`.
type Starts<'a> = BTreeMap<&'a str, Vec<&'a Start>>;

impl Oracle {
    /// Records an answer to a job, with the current time. Resubmissions share the key of the job.
    pub fn add_answer(&mut self, key: &str, tasks: usize, answer: Answer) {
        let job = self.jobs.entry(key.to_owned()).or_default();
        job.tasks = tasks;
        job.answers.push(TimedAnswer { answer, at_us: crate::wall_clock_us() });
    }

    /// Adds the answers of another oracle.
    pub fn merge(&mut self, other: Oracle) {
        for (key, job) in other.jobs {
            let own = self.jobs.entry(key).or_default();
            own.tasks = job.tasks;
            own.answers.extend(job.answers);
        }
    }

    /// Returns the number of answers by status; status 0 means no response.
    pub fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for timed in self.jobs.values().flat_map(|job| &job.answers) {
            *statuses.entry(timed.answer.status).or_default() += 1;
        }
        statuses
    }

    /// Returns all violations that the starts and the answers show: tasks that started twice, false
    /// `not_run` answers, and answers that are incomplete or differ from each other.
    pub fn violations(&self, starts: &[Start]) -> Vec<String> {
        let mut by_task: Starts = BTreeMap::new();
        for start in starts {
            by_task.entry(&start.key).or_default().push(start);
        }
        let mut violations: Vec<String> = by_task
            .iter()
            .filter(|(_, starts)| starts.len() > 1)
            .map(|(key, starts)| format!("task {key} started {} times", starts.len()))
            .collect();
        for (key, job) in &self.jobs {
            job.check_refusals(key, &by_task, &mut violations);
            job.check_answers(key, &mut violations);
        }
        violations
    }

    /// Returns the number of complete answers (status 200).
    pub fn completed_count(&self) -> usize {
        let answers = self.jobs.values().flat_map(|job| &job.answers);
        answers.filter(|timed| timed.answer.status == 200).count()
    }

    /// Returns the number of jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }
}

impl Job {
    /// Checks that no task had started when an answer `not_run` arrived. A later start is correct
    /// only if the job was submitted again, which is the case if there is a later answer.
    fn check_refusals(&self, key: &str, by_task: &Starts, violations: &mut Vec<String>) {
        let first_start = (0..self.tasks)
            .filter_map(|index| by_task.get(format!("{key}/{index}").as_str()))
            .flatten()
            .map(|start| start.started_us)
            .min();
        let Some(first_start) = first_start else { return };
        for timed in self.answers.iter().filter(|timed| timed.answer.says_not_run()) {
            let is_resubmitted = self.answers.iter().any(|other| other.at_us > timed.at_us);
            if first_start < timed.at_us {
                violations.push(format!("job {key} ran before an answer said not_run"));
            } else if !is_resubmitted {
                violations.push(format!("job {key} ran after its last answer said not_run"));
            }
        }
    }

    /// Checks that all complete answers are correct and equal.
    fn check_answers(&self, key: &str, violations: &mut Vec<String>) {
        let mut complete_answer: Option<&Answer> = None;
        for TimedAnswer { answer, .. } in
            self.answers.iter().filter(|timed| timed.answer.status == 200)
        {
            self.check_complete_answer(key, answer, violations);
            if complete_answer.is_some_and(|other| other != answer) {
                violations.push(format!("job {key} got two different answers"));
            }
            complete_answer = Some(answer);
        }
    }

    /// Checks that a complete answer holds the answer of each task, in order.
    fn check_complete_answer(&self, key: &str, answer: &Answer, violations: &mut Vec<String>) {
        let json = answer.json();
        let answers = json["answers"].as_array().map(Vec::as_slice).unwrap_or_default();
        if answers.len() != self.tasks {
            violations.push(format!(
                "job {key} got {} answers for {} tasks",
                answers.len(),
                self.tasks
            ));
        }
        for (index, answer) in answers.iter().enumerate() {
            let expected = format!("{key}/{index}");
            if answer["body"]["task"].as_str() != Some(&expected) {
                violations
                    .push(format!("job {key} got the answer of another task at index {index}"));
            }
        }
    }
}
