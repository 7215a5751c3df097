//! Tests of the fitted line.

use slopes::{Fit, Point};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    let point = |&(size, value)| Point { size, value };
    values.iter().map(point).collect()
}

#[test]
fn exact_line() {
    let fit = Fit::of(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]));
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
    assert!((fit.at(100.0) - 203.0).abs() < 1e-6);
}

#[test]
fn residual_counts() {
    // Two points lie below and two above a flat line, each at a distance of 3.
    let fit = Fit::of(&points(&[(0.0, 7.0), (1.0, 13.0), (2.0, 13.0), (3.0, 7.0)]));
    assert!(fit.slope.abs() < 1e-9);
    assert!((fit.intercept - 10.0).abs() < 1e-9);
    assert!((fit.residual - 3.0).abs() < 1e-9);
}

#[test]
fn single_size() {
    let fit = Fit::of(&points(&[(5.0, 1.0), (5.0, 3.0)]));
    assert_eq!(fit.slope, 0.0);
    assert_eq!(fit.at(5.0), 2.0);
    assert_eq!(Fit::of(&[]).at(1.0), 0.0);
}
