//! A shortened load predicts the same finish times as the whole load.

use crate::harness::{FuzzConfig, check};
use heathertrack::dispatch::{FreeSlots, Load, Needs};
use quickcheck::{Arbitrary, Gen, TestResult};
use std::time::Duration;

const CONFIG: FuzzConfig = FuzzConfig { length: 60, cases: 500 };
/// Maximum number of upstreams of one size in a shortened load.
const MAX_KEPT: usize = 8;

/// An upstream with one free slot.
#[derive(Clone, Copy, Debug)]
struct Upstream {
    slowness: u8,
    cores: u32,
    accelerators: u32,
}

impl Arbitrary for Upstream {
    fn arbitrary(g: &mut Gen) -> Self {
        Upstream {
            slowness: u8::arbitrary(g),
            cores: u32::arbitrary(g) % 4,
            accelerators: u32::arbitrary(g) % 3,
        }
    }
}

fn load(upstreams: &[Upstream]) -> Load {
    let slots = |upstream: &Upstream| FreeSlots {
        slowness: f64::from(upstream.slowness),
        count: 1,
        free_capacity: Needs {
            cores: upstream.cores,
            memory_mb: 0,
            accelerators: upstream.accelerators,
        },
    };
    let mut free: Vec<FreeSlots> = upstreams.iter().map(slots).collect();
    free.sort_by(|a, b| a.slowness.total_cmp(&b.slowness));
    Load { free, ..Load::default() }
}

#[test]
fn a_shortened_load_predicts_the_same_finish_times_for_eight_tasks() {
    fn property(upstreams: Vec<Upstream>, cores: u8, accelerators: u8) -> TestResult {
        let needs = Needs {
            cores: u32::from(cores % 4),
            memory_mb: 0,
            accelerators: u32::from(accelerators % 3),
        };
        let expected = Duration::from_millis(10);
        let mut whole = load(&upstreams);
        let mut shortened = whole.shortened();
        for _ in 0..MAX_KEPT {
            if whole.expected_finish(expected, &needs)
                != shortened.expected_finish(expected, &needs)
            {
                return TestResult::error(format!(
                    "{shortened:?} predicts another finish time than {whole:?}"
                ));
            }
            whole.add(expected, &needs);
            shortened.add(expected, &needs);
        }
        TestResult::passed()
    }
    check(CONFIG, property as fn(Vec<Upstream>, u8, u8) -> TestResult);
}

#[test]
fn a_shortened_load_keeps_at_most_eight_upstreams_of_one_size() {
    let upstream = Upstream { slowness: 1, cores: 3, accelerators: 0 };

    let shortened = load(&[upstream; 29]).shortened();

    assert_eq!(shortened.free.len(), MAX_KEPT);
}
