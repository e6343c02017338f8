use quickcheck::{Gen, QuickCheck, Testable};

/// Returns the number of seeds to run: one by default, more with `HEATHERTRACK_SEEDS`.
fn seeds() -> u64 {
    let wanted = std::env::var("HEATHERTRACK_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// How much a property is tested.
#[derive(Clone, Copy)]
pub struct FuzzConfig {
    /// Maximum length of a generated list, such as the list of events.
    pub length: usize,
    /// Number of generated inputs for each seed.
    pub cases: u64,
}

/// Checks that a property holds for every seed.
pub fn check<A: Testable + Copy>(config: FuzzConfig, property: A) {
    for seed in 1..=seeds() {
        if let Some(failure) = falsify(config, seed, property) {
            panic!("seed {seed}: {failure}");
        }
    }
}

/// Checks that at least one of 20 seeds falsifies a property. Used with a mechanism turned off, to
/// show that the property detects its absence.
pub fn check_falsified<A: Testable + Copy>(config: FuzzConfig, property: A) {
    let falsified = (1..=20).find_map(|seed| falsify(config, seed, property));
    assert!(
        falsified.is_some(),
        "no seed falsified the property although a mechanism is turned off"
    );
}

/// Returns the first failure of a property with a seed, if any.
fn falsify<A: Testable + Copy>(config: FuzzConfig, seed: u64, property: A) -> Option<String> {
    let gen_ = Gen::from_size_and_seed(config.length, seed);
    let result = QuickCheck::new().rng(gen_).tests(config.cases).quicktest(property);
    result.err().map(|failure| format!("{failure:?}"))
}
