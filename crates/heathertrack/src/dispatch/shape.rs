use super::Needs;

/// Size class of tasks: for each resource, their needs have the same number of significant bits.
///
/// Tasks are queued separately by shape, so that tasks that can't be placed delay only tasks of the
/// same shape. The number of shapes stays small however much the needs of tasks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape {
    cores: BitLength,
    memory_mb: BitLength,
    accelerators: BitLength,
}

/// Number of significant bits; 0 for the number 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BitLength(u32);

impl Shape {
    /// Returns the shape of a task with these needs.
    pub fn of(needs: &Needs) -> Self {
        Shape {
            cores: BitLength::of(needs.cores),
            memory_mb: BitLength::of(needs.memory_mb),
            accelerators: BitLength::of(needs.accelerators),
        }
    }

    /// Lower bound of the needs of all tasks of this shape.
    pub fn lower_bound(&self) -> Needs {
        self.bounds(BitLength::lower_bound)
    }

    /// Upper bound of the needs of all tasks of this shape.
    pub fn upper_bound(&self) -> Needs {
        self.bounds(BitLength::upper_bound)
    }

    fn bounds(&self, bound: impl Fn(BitLength) -> u32) -> Needs {
        Needs {
            cores: bound(self.cores),
            memory_mb: bound(self.memory_mb),
            accelerators: bound(self.accelerators),
        }
    }
}

impl BitLength {
    fn of(number: u32) -> Self {
        BitLength(u32::BITS - number.leading_zeros())
    }

    /// Smallest number with this many significant bits.
    fn lower_bound(self) -> u32 {
        self.0.checked_sub(1).map_or(0, |shift| 1 << shift)
    }

    /// Largest number with this many significant bits.
    fn upper_bound(self) -> u32 {
        u32::MAX.checked_shr(u32::BITS - self.0).unwrap_or(0)
    }
}
