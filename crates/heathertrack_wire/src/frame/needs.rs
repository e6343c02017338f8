use heathertrack::dispatch;
use serde::{Deserialize, Serialize};

/// Resources that a task needs, or that a worker provides. A worker is the machine of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Needs {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl From<&dispatch::Needs> for Needs {
    fn from(needs: &dispatch::Needs) -> Self {
        let dispatch::Needs { cores, memory_mb, accelerators } = *needs;
        Needs { cores, memory_mb, accelerators }
    }
}

impl From<&Needs> for dispatch::Needs {
    fn from(needs: &Needs) -> Self {
        let Needs { cores, memory_mb, accelerators } = *needs;
        dispatch::Needs { cores, memory_mb, accelerators }
    }
}
