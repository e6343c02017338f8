use std::str::FromStr;

/// What goes wrong in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One upstream of each data centre becomes ten times slower.
    Straggler,
    /// One upstream of each data centre fails everything at once.
    Failing,
    /// Declared times are ten times too small.
    Declared,
    /// Five times the load for half a second.
    Burst,
    /// Half of all jobs are cancelled at one moment.
    Cancel,
    /// One job of twenty can never run.
    Impossible,
    /// Eight upstreams of one data centre close every connection.
    Rack,
    /// A straggler and a burst together.
    StragglerBurst,
    /// One customer sends as much again as all others.
    Flood,
    /// Twice the capacity is asked for.
    Overload,
    /// One of ten jobs of a single task needs an accelerator, which few upstreams have.
    Accelerated,
}

const NAMES: [(&str, Fault); 11] = [
    ("straggler", Fault::Straggler),
    ("failing", Fault::Failing),
    ("declared", Fault::Declared),
    ("burst", Fault::Burst),
    ("cancel", Fault::Cancel),
    ("impossible", Fault::Impossible),
    ("rack", Fault::Rack),
    ("straggler_burst", Fault::StragglerBurst),
    ("flood", Fault::Flood),
    ("overload", Fault::Overload),
    ("accelerated", Fault::Accelerated),
];

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, fault)| *fault).ok_or_else(|| "is no known fault".to_owned())
    }
}

impl Fault {
    pub fn name(self) -> &'static str {
        let found = NAMES.iter().find(|(_, fault)| *fault == self);
        found.map_or("", |(name, _)| name)
    }

    pub fn has_straggler(self) -> bool {
        matches!(self, Fault::Straggler | Fault::StragglerBurst)
    }

    pub fn has_burst(self) -> bool {
        matches!(self, Fault::Burst | Fault::StragglerBurst)
    }
}
