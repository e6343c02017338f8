use crate::fault::Fault;
use crate::setup::Setup;
use argh::FromArgs;

/// Measures the dispatcher's policy against baselines.
#[derive(FromArgs, Clone, Debug)]
pub struct Arguments {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// seed of the workload
    #[argh(option, default = "1")]
    pub seed: u64,
    /// offered load as a fraction of the capacity; by default 0.7 and 0.9, one after the other
    #[argh(option)]
    pub load: Option<f64>,
    /// only this policy: chosen, random_fifo, power_of_two or central; or latency, for what one
    /// host adds to a request
    #[argh(option)]
    pub variant: Option<String>,
    /// a fault in the middle of each run: straggler, failing, declared, burst, cancel, impossible,
    /// rack, straggler_burst, flood, overload or accelerated
    #[argh(option)]
    pub fault: Option<Fault>,
    /// sizes and objective: virumaa or dongbaek
    #[argh(option, default = "Setup::Virumaa")]
    pub setup: Setup,
    /// seconds measured in each run
    #[argh(option, default = "6.0")]
    pub seconds: f64,
}
