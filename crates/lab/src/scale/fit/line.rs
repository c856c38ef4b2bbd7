//! A line through measured points: a fixed part and a slope.

/// See the module's text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value where the driver is 0.
    pub fixed: f64,
    /// What one unit of the driver adds.
    pub slope: f64,
    /// The largest distance of a point from the line, as a fraction of the point's value.
    pub worst_residual: f64,
}

impl Line {
    /// The line of least squares through points of driver and value; none where there are not two drivers apart.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let first = points.first()?.0;
        if points.iter().all(|(driver, _)| *driver == first) {
            return None;
        }
        let (slope, fixed): (f64, f64) = linreg::linear_regression_of(points).ok()?;
        let mut line = Line {
            fixed,
            slope,
            worst_residual: 0.0,
        };
        let residuals = points
            .iter()
            .map(|(driver, value)| relative_error(line.at(*driver), *value).abs());
        line.worst_residual = residuals.fold(0.0, f64::max);
        Some(line)
    }

    /// The value at a driver.
    pub fn at(&self, driver: f64) -> f64 {
        self.fixed + self.slope * driver
    }
}

/// How far a foretold value is off, as a fraction of the measured one.
pub fn relative_error(foretold: f64, measured: f64) -> f64 {
    match measured == 0.0 {
        true if foretold == 0.0 => 0.0,
        true => f64::INFINITY,
        false => (foretold - measured) / measured,
    }
}
