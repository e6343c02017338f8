//! Holds what callers were told against what upstreams saw.

use crate::client::Answer;
use crate::upstream::Start;
use std::collections::BTreeMap;

/// What is known of all jobs of a test.
#[derive(Debug, Default)]
pub struct Oracle {
    jobs: BTreeMap<String, Job>,
}

#[derive(Debug, Default)]
struct Job {
    tasks: usize,
    told: Vec<Told>,
}

/// An answer and when it came, in Unix microseconds.
#[derive(Debug)]
struct Told {
    answer: Answer,
    at_us: u64,
}

/// Starts by task key.
type Starts<'a> = BTreeMap<&'a str, Vec<&'a Start>>;

impl Oracle {
    /// Notes that a job of this many tasks just got an answer. Resubmissions share its key.
    pub fn note(&mut self, key: &str, tasks: usize, answer: Answer) {
        let job = self.jobs.entry(key.to_owned()).or_default();
        job.tasks = tasks;
        job.told.push(Told { answer, at_us: crate::wall_us() });
    }

    /// Takes in what another one knows.
    pub fn merge(&mut self, other: Oracle) {
        for (key, job) in other.jobs {
            let own = self.jobs.entry(key).or_default();
            own.tasks = job.tasks;
            own.told.extend(job.told);
        }
    }

    /// Answers by status; zero stands for none.
    pub fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for told in self.jobs.values().flat_map(|job| &job.told) {
            *statuses.entry(told.answer.status).or_default() += 1;
        }
        statuses
    }

    /// Everything in which the starts and the answers break a promise.
    pub fn faults(&self, starts: &[Start]) -> Vec<String> {
        let mut by_task: Starts = BTreeMap::new();
        for start in starts {
            by_task.entry(&start.key).or_default().push(start);
        }
        let mut faults: Vec<String> = by_task
            .iter()
            .filter(|(_, starts)| starts.len() > 1)
            .map(|(key, starts)| format!("task {key} started {} times", starts.len()))
            .collect();
        for (key, job) in &self.jobs {
            job.check_refusals(key, &by_task, &mut faults);
            job.check_answers(key, &mut faults);
        }
        faults
    }

    /// Answers that were complete.
    pub fn complete(&self) -> usize {
        let told = self.jobs.values().flat_map(|job| &job.told);
        told.filter(|told| told.answer.status == 200).count()
    }

    /// Jobs noted.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }
}

impl Job {
    /// When a refusal that says "not run" came, nothing had started. Something may start later
    /// only if the job was submitted again, and so got another answer later.
    fn check_refusals(&self, key: &str, by_task: &Starts, faults: &mut Vec<String>) {
        let first_start = (0..self.tasks)
            .filter_map(|index| by_task.get(format!("{key}/{index}").as_str()))
            .flatten()
            .map(|start| start.started_us)
            .min();
        let Some(first_start) = first_start else { return };
        for told in self.told.iter().filter(|told| told.answer.says_not_run()) {
            let again = self.told.iter().any(|other| other.at_us > told.at_us);
            if first_start < told.at_us {
                faults.push(format!("job {key} was said not to have run, and did"));
            } else if !again {
                faults.push(format!("job {key} ran after it was last said not to have run"));
            }
        }
    }

    fn check_answers(&self, key: &str, faults: &mut Vec<String>) {
        let mut whole: Option<&Answer> = None;
        for Told { answer, .. } in self.told.iter().filter(|told| told.answer.status == 200) {
            self.check_whole(key, answer, faults);
            if whole.is_some_and(|other| other != answer) {
                faults.push(format!("job {key} got two different answers"));
            }
            whole = Some(answer);
        }
    }

    /// Every task's own answer, in order.
    fn check_whole(&self, key: &str, answer: &Answer, faults: &mut Vec<String>) {
        let json = answer.json();
        let answers = json["answers"].as_array().map(Vec::as_slice).unwrap_or_default();
        if answers.len() != self.tasks {
            faults.push(format!("job {key} got {} answers of {}", answers.len(), self.tasks));
        }
        for (index, answer) in answers.iter().enumerate() {
            let expected = format!("{key}/{index}");
            if answer["body"]["task"].as_str() != Some(&expected) {
                faults.push(format!("job {key} got another task's answer at {index}"));
            }
        }
    }
}
