//! Mean, spread, and how sure a mean is.

use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// Part of the cases in which the interval holds the true mean.
const CONFIDENCE: f64 = 0.95;

/// What a few figures say of their mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of figures.
    pub count: usize,
    /// Their mean.
    pub mean: f64,
    /// The smallest.
    pub least: f64,
    /// The greatest.
    pub most: f64,
    /// Half the width of the confidence interval of the mean; none for a single figure.
    pub margin: Option<f64>,
}

impl Summary {
    /// A summary of these figures; none if there are none.
    #[must_use]
    pub fn of(figures: &[f64]) -> Option<Self> {
        if figures.is_empty() {
            return None;
        }
        Some(Self {
            count: figures.len(),
            mean: figures.mean(),
            least: figures.min(),
            most: figures.max(),
            margin: margin(figures),
        })
    }
}

/// By Student's t, because the spread is known from the few figures only.
#[expect(clippy::cast_precision_loss, reason = "there are a few hundred figures at most")]
fn margin(figures: &[f64]) -> Option<f64> {
    let degrees = figures.len().checked_sub(1).filter(|degrees| *degrees > 0)?;
    let student = StudentsT::new(0.0, 1.0, degrees as f64).ok()?;
    let quantile = student.inverse_cdf(f64::midpoint(1.0, CONFIDENCE));
    Some(quantile * figures.std_dev() / (figures.len() as f64).sqrt())
}
