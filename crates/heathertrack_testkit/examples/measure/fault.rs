use std::str::FromStr;

/// Fault that is injected in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One upstream of each data centre becomes ten times slower.
    Straggler,
    /// One upstream of each data centre fails every task immediately.
    Failing,
    /// Declared run times are ten times too short.
    Declared,
    /// The load is five times as high for half a second.
    Burst,
    /// Half of the jobs in flight are cancelled at the same time.
    Cancel,
    /// One job in twenty needs more cores than any upstream has.
    Impossible,
    /// Eight upstreams of one data centre close every connection.
    Rack,
    /// A straggler and a burst at the same time.
    StragglerBurst,
    /// Half of the jobs are reassigned to one customer.
    Flood,
    /// The offered load is twice the capacity, for the whole run.
    Overload,
    /// One in ten single-task jobs needs an accelerator, which few upstreams have.
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
        found.map(|(_, fault)| *fault).ok_or_else(|| "unknown fault".to_owned())
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
