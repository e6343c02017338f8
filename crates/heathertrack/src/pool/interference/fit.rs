use super::class::{Index, MAX_CLASSES, PerClass};
use crate::clock::Time;

/// Time in seconds after which the weight of a run has fallen to 1/e.
const MEMORY_SECONDS: f64 = 120.0;
/// Prior weight of "no slowdown", in squared neighbours. It keeps the system of equations regular, and
/// estimates from a few runs small.
const PRIOR_WEIGHT: f64 = 1.0;
/// Least variance of the logarithm of the duration of similar tasks. Tasks of one step differ by some
/// 15%; a few runs may by chance differ far less.
const MIN_VARIANCE: f64 = 0.01;

/// Estimated slowdown of a class by one neighbour of another.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Natural logarithm of the factor by which durations grow.
    pub log_factor: f64,
    /// Standard error.
    pub error: f64,
}

/// A run of a class, compared with others of the same step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Comparison {
    /// Natural logarithm of its work relative to the others.
    pub log_work: f64,
    /// Number of neighbours by class relative to the others.
    pub neighbours: PerClass<f64>,
}

/// Least-squares fit of the logarithms of the durations of one class's runs to the numbers of their
/// neighbours. All classes of neighbours are fitted together, so that one which is merely often there
/// beside another isn't blamed.
#[derive(Debug)]
pub(super) struct Fit {
    /// Sums of the products of the numbers of neighbours of two classes.
    products: PerClass<PerClass<f64>>,
    /// Sums of the products of the number of neighbours and the logarithm of the work.
    moments: PerClass<f64>,
    /// Sum of the squares of the logarithms of the work.
    squares: f64,
    /// Number of independent comparisons.
    comparisons: f64,
    /// Time up to which earlier runs have lost weight.
    decayed_to: Time,
}

impl Default for Fit {
    fn default() -> Self {
        Fit {
            products: [[0.0; MAX_CLASSES]; MAX_CLASSES],
            moments: [0.0; MAX_CLASSES],
            squares: 0.0,
            comparisons: 0.0,
            decayed_to: Time::ZERO,
        }
    }
}

impl Fit {
    /// Adds the runs of one step, of which the logarithms of the work sum up to zero, and so do the
    /// numbers of neighbours of each class. `classes` is the number of classes in use.
    pub fn add(&mut self, runs: &[Comparison], classes: usize, now: Time) {
        self.decay(classes, now);
        self.comparisons += runs.len() as f64 - 1.0;
        for run in runs {
            self.squares += run.log_work * run.log_work;
            for class in 0..classes {
                self.moments[class] += run.neighbours[class] * run.log_work;
                for other in 0..classes {
                    self.products[class][other] += run.neighbours[class] * run.neighbours[other];
                }
            }
        }
    }

    fn decay(&mut self, classes: usize, now: Time) {
        let factor = (-now.since(self.decayed_to).as_secs_f64() / MEMORY_SECONDS).exp();
        self.decayed_to = now;
        self.squares *= factor;
        self.comparisons *= factor;
        for class in 0..classes {
            self.moments[class] *= factor;
            self.products[class][..classes].iter_mut().for_each(|product| *product *= factor);
        }
    }

    /// Forgets what is known of neighbours of a class.
    pub fn forget(&mut self, class: Index) {
        self.moments[class] = 0.0;
        self.products[class] = [0.0; MAX_CLASSES];
        self.products.iter_mut().for_each(|row| row[class] = 0.0);
    }

    /// Returns the estimate for each class of neighbours.
    pub fn estimates(&self, classes: usize) -> PerClass<Estimate> {
        let mut estimates = [Estimate::default(); MAX_CLASSES];
        let inverse = self.inverse(classes);
        for class in 0..classes {
            let terms = inverse[class].iter().zip(&self.moments);
            estimates[class].log_factor = terms.map(|(entry, moment)| entry * moment).sum();
        }
        let explained: f64 =
            estimates.iter().zip(&self.moments).map(|(e, moment)| e.log_factor * moment).sum();
        let variance = (self.squares - explained) / self.comparisons.max(1.0);
        for class in 0..classes {
            let variance = variance.max(MIN_VARIANCE) * inverse[class][class];
            estimates[class].error = variance.sqrt();
        }
        estimates
    }

    /// Returns the inverse of the matrix of products with the prior weight, by Gauss-Jordan elimination.
    /// The matrix is positive definite, so no pivots have to be chosen.
    fn inverse(&self, classes: usize) -> PerClass<PerClass<f64>> {
        let mut matrix = self.products;
        let mut inverse = [[0.0; MAX_CLASSES]; MAX_CLASSES];
        for class in 0..classes {
            matrix[class][class] += PRIOR_WEIGHT;
            inverse[class][class] = 1.0;
        }
        for pivot in 0..classes {
            let scale = 1.0 / matrix[pivot][pivot];
            for column in 0..classes {
                matrix[pivot][column] *= scale;
                inverse[pivot][column] *= scale;
            }
            let (pivot_row, pivot_inverse) = (matrix[pivot], inverse[pivot]);
            for row in (0..classes).filter(|row| *row != pivot) {
                let factor = matrix[row][pivot];
                for column in 0..classes {
                    matrix[row][column] -= factor * pivot_row[column];
                    inverse[row][column] -= factor * pivot_inverse[column];
                }
            }
        }
        inverse
    }
}
