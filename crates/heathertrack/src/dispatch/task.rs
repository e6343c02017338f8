use super::Needs;
use crate::clock::Time;
use crate::name::{Class, Customer};
use std::time::Duration;

/// Properties of a task that the dispatcher uses to order and place it.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// Customer that submitted the job.
    pub customer: Customer,
    /// Class of the job; run times are learned for each class.
    pub class: Class,
    /// Worth of the job to the customer; 1 is normal.
    pub worth: f64,
    /// Time at which the job was accepted, on this host's clock.
    pub arrived: Time,
    /// Time by which the job must be answered, on this host's clock.
    pub deadline: Time,
    /// Run time declared by the caller; zero if none.
    pub declared: Duration,
    /// Resources needed on a worker.
    pub needs: Needs,
    /// Expected run time of the job's longest task on an upstream of nominal speed.
    pub job_longest: Duration,
    /// Sum of the expected run times of the job's tasks on an upstream of nominal speed.
    pub job_work: Duration,
}
