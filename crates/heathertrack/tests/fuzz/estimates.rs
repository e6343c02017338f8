//! Estimates stay bounded for any input and converge to a constant ratio.

use crate::harness::{FuzzConfig, check};
use heathertrack::clock::Time;
use heathertrack::dispatch::{Estimates, Task};
use heathertrack::name::{Class, Customer};
use quickcheck::TestResult;
use std::time::Duration;

const CONFIG: FuzzConfig = FuzzConfig { length: 80, cases: 500 };
/// Maximum number of classes with their own estimate.
const MAX_CLASSES: usize = 256;

fn task(class: &str, declared: Duration) -> Task {
    Task {
        customer: Customer::new("kadriorg-crafts"),
        class: Class::new(class),
        worth: 1.0,
        arrived: Time::ZERO,
        deadline: Time::from_millis(10_000),
        declared,
        needs: Default::default(),
        job_longest: declared,
        job_work: declared,
    }
}

#[test]
fn estimates_stay_within_bounds_for_any_input() {
    fn property(samples: Vec<(u32, u32)>) -> TestResult {
        let mut estimates = Estimates::default();
        for (declared_us, actual_us) in samples {
            let declared = Duration::from_micros(u64::from(declared_us));
            let task = task("cut-plan", declared);
            estimates.learn(&task, Duration::from_micros(u64::from(actual_us)));
            let expected = estimates.expected_run_time(&task.class, declared);
            // An estimate differs from the declared time at most by a factor of 1,000, with some
            // tolerance for rounding. Without a declared time it is at most an hour.
            let low = declared.mul_f64(0.000_9);
            let high = declared.mul_f64(1_001.0).max(Duration::from_secs(3_600));
            if expected < low || expected > high {
                return TestResult::error(format!(
                    "expected {expected:?} for a declared run time of {declared:?}"
                ));
            }
        }
        TestResult::passed()
    }
    check(CONFIG, property as fn(Vec<(u32, u32)>) -> TestResult);
}

#[test]
fn a_constant_factor_in_the_declarations_is_learned() {
    fn property(factor: u8) -> TestResult {
        let factor = 0.1 + f64::from(factor % 100) / 10.0;
        let mut estimates = Estimates::default();
        // Declared run times from 17 to 430 ms.
        for ms in (1..=60).map(|n| 10 + n * 7) {
            let declared = Duration::from_millis(ms);
            estimates.learn(&task("quote", declared), declared.mul_f64(factor));
        }
        let expected =
            estimates.expected_run_time(&Class::new("quote"), Duration::from_millis(100));
        let actual_s = 0.1 * factor;
        TestResult::from_bool((expected.as_secs_f64() / actual_s - 1.0).abs() < 0.05)
    }
    check(CONFIG, property as fn(u8) -> TestResult);
}

#[test]
fn the_number_of_classes_is_bounded() {
    let mut estimates = Estimates::default();

    for number in 0..2 * MAX_CLASSES {
        let task = task(&format!("class-{number}"), Duration::ZERO);
        estimates.learn(&task, Duration::from_millis(50));
    }

    assert_eq!(estimates.class_count(), MAX_CLASSES);
    // The last class has no estimate of its own, but the shared one.
    assert!(estimates.has_estimate(&Class::new("class-511"), Duration::ZERO));
}
