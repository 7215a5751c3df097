//! Costs measured at several sizes.

use serde::Serialize;

use crate::fit::Fit;

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value measured at this size.
    pub value: f64,
}

/// One cost at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// The name of the cost.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The description of what the sizes count.
    pub per: &'static str,
    /// The measurements.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

/// A value with its name and unit.
pub(crate) type Value = (&'static str, &'static str, f64);

/// Collects the values measured at each size into figures.
#[derive(Debug)]
pub(crate) struct Series {
    /// The description of what the sizes count.
    per: &'static str,
    /// The figures, whose lines are fitted at the end.
    figures: Vec<Figure>,
}

impl Series {
    /// Creates a series without values.
    pub(crate) fn new(per: &'static str) -> Series {
        Series {
            per,
            figures: Vec::new(),
        }
    }

    /// Adds the values measured at a size.
    pub(crate) fn add(&mut self, size: usize, values: &[Value]) {
        for &(name, unit, value) in values {
            let point = Point {
                size: size as f64,
                value,
            };
            let known = self.figures.iter_mut().find(|f| f.name == name);
            match known {
                Some(figure) => figure.points.push(point),
                None => self.figures.push(self.new_figure(name, unit, point)),
            }
        }
    }

    /// Fits the lines and returns the figures.
    pub(crate) fn finish(mut self) -> Vec<Figure> {
        for figure in &mut self.figures {
            figure.fit = Fit::of(&figure.points);
        }
        self.figures
    }

    fn new_figure(&self, name: &'static str, unit: &'static str, point: Point) -> Figure {
        Figure {
            name,
            unit,
            per: self.per,
            points: vec![point],
            fit: Fit::of(&[point]),
        }
    }
}
