use super::{List, check_edit_fields, read_label};
use crate::caller::MAX_TASKS;
use heathertrack::dispatch::Needs;
use heathertrack::lists::{Allowance, Allowances};
use heathertrack::name::Plan;
use heathertrack_document::{Fields, Findings, Node, read};
use serde_json::{Value, json};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Range of the concurrent tasks of a customer.
const TASKS_AT_ONCE: RangeInclusive<u64> = 1..=1_000_000;
/// Range of the task starts per second of a customer.
const STARTS_PER_SECOND: RangeInclusive<f64> = 0.01..=1_000_000.0;
/// Range of the task starts that may happen at once, beyond the rate.
const BURST: RangeInclusive<f64> = 1.0..=1_000_000.0;
/// Range of the cores, MB of memory or accelerators that one task may need.
const TASK_RESOURCE: RangeInclusive<u64> = 0..=100_000_000;
/// Range of the longest deadline of a job, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;

impl List for Allowances {
    const NAME: &'static str = "allowances";

    fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        read(name, text, read_allowances)
    }

    fn to_json(&self) -> Value {
        let entry = |(plan, allowance): (&Plan, &Allowance)| {
            let value = json!({
                "tasks_at_once": allowance.tasks_at_once,
                "starts_per_second": allowance.starts_per_second,
                "burst": allowance.burst,
                "tasks_per_job": allowance.tasks_per_job,
                "task_cores": allowance.task.cores,
                "task_memory_mb": allowance.task.memory_mb,
                "task_accelerators": allowance.task.accelerators,
                "deadline_ms": allowance.deadline.as_millis() as u64,
            });
            (plan.to_string(), value)
        };
        let plans: serde_json::Map<String, Value> = self.plans.iter().map(entry).collect();
        json!({ "plans": plans })
    }
}

fn read_allowances(node: &Node, findings: &mut Findings) -> Option<Allowances> {
    let mut fields = node.fields(findings)?;
    let plans = fields.required("plans", findings);
    check_edit_fields(&mut fields, findings);
    fields.finish(findings);
    let mut allowances = Allowances::default();
    for (name, node) in plans?.fields(findings)?.entries() {
        let name = read_label(name, &node, findings);
        let allowance = read_allowance(&node, findings);
        if let (Some(name), Some(allowance)) = (name, allowance) {
            allowances.plans.insert(Plan::new(name), allowance);
        }
    }
    Some(allowances)
}

fn read_allowance(node: &Node, findings: &mut Findings) -> Option<Allowance> {
    let mut fields = node.fields(findings)?;
    let tasks_at_once = required_integer(&mut fields, "tasks_at_once", TASKS_AT_ONCE, findings);
    let starts_per_second =
        required_number(&mut fields, "starts_per_second", STARTS_PER_SECOND, findings);
    let burst = required_number(&mut fields, "burst", BURST, findings);
    let tasks_per_job =
        required_integer(&mut fields, "tasks_per_job", 1..=MAX_TASKS as u64, findings);
    let cores = required_integer(&mut fields, "task_cores", TASK_RESOURCE, findings);
    let memory_mb = required_integer(&mut fields, "task_memory_mb", TASK_RESOURCE, findings);
    let accelerators = required_integer(&mut fields, "task_accelerators", TASK_RESOURCE, findings);
    let deadline = required_integer(&mut fields, "deadline_ms", DEADLINE_MS, findings);
    fields.finish(findings);
    Some(Allowance {
        tasks_at_once: tasks_at_once? as u32,
        starts_per_second: starts_per_second?,
        burst: burst?,
        tasks_per_job: tasks_per_job? as usize,
        task: Needs {
            cores: cores? as u32,
            memory_mb: memory_mb? as u32,
            accelerators: accelerators? as u32,
        },
        deadline: Duration::from_millis(deadline?),
    })
}

fn required_integer(
    fields: &mut Fields,
    name: &'static str,
    range: RangeInclusive<u64>,
    findings: &mut Findings,
) -> Option<u64> {
    fields.required(name, findings)?.integer(range, findings)
}

fn required_number(
    fields: &mut Fields,
    name: &'static str,
    range: RangeInclusive<f64>,
    findings: &mut Findings,
) -> Option<f64> {
    fields.required(name, findings)?.number(range, findings)
}
