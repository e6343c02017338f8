use heathertrack::dispatch::{Objective, PlacementPolicy};
use heathertrack_document::{Findings, Node};

/// Policy for ordering and placing tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// What the order of tasks minimises: the response times relative to the ideal, with all jobs
    /// weighted equally or each by its worth.
    pub objective: Objective,
    /// Baseline policy that is used instead, for comparison; `None` in production. The settings
    /// name this field `trial`.
    pub baseline: Option<BaselinePolicy>,
}

/// Baseline policies for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselinePolicy {
    /// Every host sends each task to a random upstream of its data centre.
    RandomFifo,
    /// Every host sends each task to the less loaded of two random upstreams.
    PowerOfTwo,
    /// One host of the data centre dispatches to all of its upstreams.
    Central,
}

impl BaselinePolicy {
    /// Returns how an upstream is chosen under this policy.
    pub fn placement(self) -> PlacementPolicy {
        match self {
            BaselinePolicy::RandomFifo => PlacementPolicy::Random,
            BaselinePolicy::PowerOfTwo => PlacementPolicy::PowerOfTwo,
            BaselinePolicy::Central => PlacementPolicy::EarliestFinish,
        }
    }

    /// Returns whether every host dispatches to every upstream of its data centre.
    pub fn shares_upstreams(self) -> bool {
        matches!(self, BaselinePolicy::RandomFifo | BaselinePolicy::PowerOfTwo)
    }
}

impl Policy {
    /// Returns how an upstream is chosen.
    pub fn placement(&self) -> PlacementPolicy {
        self.baseline.map(BaselinePolicy::placement).unwrap_or_default()
    }

    pub(super) fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let objective = match fields.optional("objective") {
            Some(node) => objective(&node, findings),
            None => Some(Objective::default()),
        };
        let baseline = match fields.optional("trial") {
            Some(node) => baseline(&node, findings).map(Some),
            None => Some(None),
        };
        fields.finish(findings);
        Some(Policy { objective: objective?, baseline: baseline? })
    }
}

fn objective(node: &Node, findings: &mut Findings) -> Option<Objective> {
    match node.string(findings)? {
        "response" => Some(Objective::Response),
        "worth" => Some(Objective::Worth),
        _ => {
            node.reject("must be \"response\" or \"worth\"", findings);
            None
        }
    }
}

fn baseline(node: &Node, findings: &mut Findings) -> Option<BaselinePolicy> {
    match node.string(findings)? {
        "random_fifo" => Some(BaselinePolicy::RandomFifo),
        "power_of_two" => Some(BaselinePolicy::PowerOfTwo),
        "central" => Some(BaselinePolicy::Central),
        _ => {
            let message = "must be \"random_fifo\", \"power_of_two\" or \"central\"";
            node.reject(message, findings);
            None
        }
    }
}
