//! Parses the load reports of data nodes.

#[cfg(test)]
mod tests;

use crate::terms;
use balancer::LoadMetric;

/// Parses a load report: comma-separated pairs of a metric name and a number, with `separator` between the two.
/// The platform's metric names are translated. `None` if a pair has no separator or its value is not a finite
/// number.
pub fn parse_load_metrics(report: &str, separator: char) -> Option<Vec<LoadMetric<'_>>> {
    let pairs = report.split(',').filter(|pair| !pair.is_empty());
    pairs.map(|pair| parse_load_metric(pair, separator)).collect()
}

fn parse_load_metric(pair: &str, separator: char) -> Option<LoadMetric<'_>> {
    let (name, value) = pair.split_once(separator)?;
    let value: f64 = value.parse().ok()?;
    value.is_finite().then(|| LoadMetric { name: terms::translate(name), value })
}
