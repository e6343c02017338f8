use super::Needs;

/// Size class of tasks: all needs rounded to the same powers of two.
///
/// Tasks are queued separately by shape, so that tasks that can't be placed delay only tasks of the
/// same shape. The number of shapes stays small however much the needs of tasks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape {
    cores: Magnitude,
    memory_mb: Magnitude,
    accelerators: Magnitude,
}

/// Number of significant bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Magnitude(u32);

impl Shape {
    /// Returns the shape of a task with these needs.
    pub fn of(needs: &Needs) -> Self {
        Shape {
            cores: Magnitude::of(needs.cores),
            memory_mb: Magnitude::of(needs.memory_mb),
            accelerators: Magnitude::of(needs.accelerators),
        }
    }

    /// Lower bound of the needs of all tasks of this shape.
    pub fn least(&self) -> Needs {
        self.each(Magnitude::least)
    }

    /// Upper bound of the needs of all tasks of this shape.
    pub fn most(&self) -> Needs {
        self.each(Magnitude::most)
    }

    fn each(&self, bound: impl Fn(Magnitude) -> u32) -> Needs {
        Needs {
            cores: bound(self.cores),
            memory_mb: bound(self.memory_mb),
            accelerators: bound(self.accelerators),
        }
    }
}

impl Magnitude {
    fn of(number: u32) -> Self {
        Magnitude(u32::BITS - number.leading_zeros())
    }

    fn least(self) -> u32 {
        self.0.checked_sub(1).map_or(0, |shift| 1 << shift)
    }

    fn most(self) -> u32 {
        u32::MAX.checked_shr(u32::BITS - self.0).unwrap_or(0)
    }
}
