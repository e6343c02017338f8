use heathertrack::dispatch::Objective;
use std::str::FromStr;
use std::time::Duration;

/// The users whose installation is emulated. They differ in objective, latency and size of
/// upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setup {
    Virumaa,
    Dongbaek,
}

impl FromStr for Setup {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "virumaa" => Ok(Setup::Virumaa),
            "dongbaek" => Ok(Setup::Dongbaek),
            _ => Err("must be virumaa or dongbaek".to_owned()),
        }
    }
}

impl Setup {
    pub fn name(self) -> &'static str {
        match self {
            Setup::Virumaa => "virumaa",
            Setup::Dongbaek => "dongbaek",
        }
    }

    /// Returns the objective of the dispatch order.
    pub fn objective(self) -> Objective {
        match self {
            Setup::Virumaa => Objective::Response,
            Setup::Dongbaek => Objective::Worth,
        }
    }

    /// Returns the one-way latency between a client and an entry host.
    pub fn client_latency(self) -> Duration {
        match self {
            Setup::Virumaa => Duration::from_millis(1),
            Setup::Dongbaek => Duration::from_millis(3),
        }
    }

    /// Returns the cores and the memory in MB of an upstream.
    pub fn upstream_size(self) -> (u32, u32) {
        match self {
            Setup::Virumaa => (16, 32_768),
            Setup::Dongbaek => (64, 131_072),
        }
    }
}

/// Number of data centres (the users have 3).
pub const DATA_CENTRES: usize = 3;
/// Entry hosts in each data centre, 6 in total (the users have 6 to 9).
pub const HOSTS_PER_CENTRE: usize = 2;
/// Upstreams in each data centre, 51 in total (the users have about 50).
pub const UPSTREAMS_PER_CENTRE: usize = 17;
/// Slots of each upstream (the users have 8).
pub const SLOTS: u32 = 8;
/// Ratio of the slowness of the slowest upstream to that of the fastest.
pub const SLOWNESS_RATIO: f64 = 4.0;
/// Round trip to an upstream within a data centre.
pub const UPSTREAM_ROUND_TRIP: Duration = Duration::from_micros(400);

/// Returns the slowness of an upstream by its index in the data centre: a geometric sequence from 1
/// to [`SLOWNESS_RATIO`].
pub fn slowness(index: usize) -> f64 {
    let position = index as f64 / (UPSTREAMS_PER_CENTRE - 1) as f64;
    SLOWNESS_RATIO.powf(position)
}

/// Returns the accelerators of an upstream by its index in the data centre: one has four, the
/// others none.
pub fn accelerators(index: usize) -> u32 {
    if index == 4 { 4 } else { 0 }
}

/// Returns the work that all upstreams do in a second, in seconds at nominal speed, the speed
/// of an upstream of slowness 1.
pub fn capacity() -> f64 {
    let each: f64 = (0..UPSTREAMS_PER_CENTRE).map(|i| f64::from(SLOTS) / slowness(i)).sum();
    each * DATA_CENTRES as f64
}
