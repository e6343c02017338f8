/// Resources that a task needs, or that a worker provides. A worker is the machine of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Needs {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Whether these resources include at least those of `other`.
    pub fn holds(&self, other: &Needs) -> bool {
        self.cores >= other.cores
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Sum of both, saturating.
    pub fn plus(&self, other: &Needs) -> Needs {
        self.zip_with(other, u32::saturating_add)
    }

    /// Difference, saturating at zero.
    pub fn minus(&self, other: &Needs) -> Needs {
        self.zip_with(other, u32::saturating_sub)
    }

    /// Number of tasks with the needs `task` that fit into these resources at once; `u32::MAX` if
    /// the task needs nothing.
    pub fn count(&self, task: &Needs) -> u32 {
        let of = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        of(self.cores, task.cores)
            .min(of(self.memory_mb, task.memory_mb))
            .min(of(self.accelerators, task.accelerators))
    }

    fn zip_with(&self, other: &Needs, combine: impl Fn(u32, u32) -> u32) -> Needs {
        Needs {
            cores: combine(self.cores, other.cores),
            memory_mb: combine(self.memory_mb, other.memory_mb),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }
}
