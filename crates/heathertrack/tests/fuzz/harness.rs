use quickcheck::{Gen, QuickCheck, Testable};

/// Returns the number of seeds to run: one by default, more with `HEATHERTRACK_SEEDS`.
fn seeds() -> u64 {
    let wanted = std::env::var("HEATHERTRACK_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// Maximum size of generated inputs, and number of cases for each seed.
#[derive(Clone, Copy)]
pub struct Effort {
    pub length: usize,
    pub cases: u64,
}

/// Checks a property with every seed.
pub fn check<A: Testable + Copy>(effort: Effort, property: A) {
    for seed in 1..=seeds() {
        if let Some(failure) = falsify(effort, seed, property) {
            panic!("seed {seed}: {failure}");
        }
    }
}

/// Checks that one of 20 seeds falsifies a property. Used with a mechanism turned off, to show that
/// the property detects its absence.
pub fn check_caught<A: Testable + Copy>(effort: Effort, property: A) {
    let caught = (1..=20).find_map(|seed| falsify(effort, seed, property));
    assert!(caught.is_some(), "no seed falsified the property although a mechanism is turned off");
}

fn falsify<A: Testable + Copy>(effort: Effort, seed: u64, property: A) -> Option<String> {
    let gen_ = Gen::from_size_and_seed(effort.length, seed);
    let result = QuickCheck::new().rng(gen_).tests(effort.cases).quicktest(property);
    result.err().map(|failure| format!("{failure:?}"))
}
