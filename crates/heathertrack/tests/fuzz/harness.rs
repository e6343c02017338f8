use quickcheck::{Gen, QuickCheck, Testable};

/// Seeds to run: one in CI, more on request.
fn seeds() -> u64 {
    let wanted = std::env::var("HEATHERTRACK_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// How long the sequences get, and how many are tried with each seed.
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

/// Checks that a property does not hold, as one mechanism is missing: a check that can't fail
/// proves nothing.
pub fn check_caught<A: Testable + Copy>(effort: Effort, property: A) {
    let caught = (1..=20).find_map(|seed| falsify(effort, seed, property));
    assert!(caught.is_some(), "the missing mechanism was not noticed");
}

fn falsify<A: Testable + Copy>(effort: Effort, seed: u64, property: A) -> Option<String> {
    let gen_ = Gen::from_size_and_seed(effort.length, seed);
    let result = QuickCheck::new().rng(gen_).tests(effort.cases).quicktest(property);
    result.err().map(|failure| format!("{failure:?}"))
}
