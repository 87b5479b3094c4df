//! Reads counters from the metrics of the nodes.

use std::collections::BTreeMap;

use verbenagap::site::Site;

/// The counters of all nodes, added up, by name with labels.
#[derive(Debug, Clone, Default)]
pub(super) struct Counters {
    values: BTreeMap<String, f64>,
}

impl Counters {
    /// Reads the counters of all nodes of a site.
    pub(super) fn read(site: &Site) -> Counters {
        let mut values = BTreeMap::new();
        for node in site.nodes().values() {
            let text = node.handle.node().metrics.encode_text().unwrap_or_default();
            add_counters(&mut values, &String::from_utf8_lossy(&text));
        }
        Counters { values }
    }

    /// Returns the increase since an earlier reading, divided by `divisor`.
    pub(super) fn rates_since(&self, before: &Counters, divisor: f64) -> Counters {
        let earlier = |name: &String| before.values.get(name).copied().unwrap_or(0.0);
        let rates =
            self.values.iter().map(|(name, now)| (name.clone(), (now - earlier(name)) / divisor));
        Counters { values: rates.collect() }
    }

    /// Returns the sum of the counters whose name with labels contains all of `parts`.
    pub(super) fn sum(&self, parts: &[&str]) -> f64 {
        let matches = |name: &str| parts.iter().all(|part| name.contains(part));
        self.values.iter().filter(|(name, _)| matches(name)).map(|(_, value)| value).sum()
    }
}

/// Adds the counters of a metrics page to `values`.
fn add_counters(values: &mut BTreeMap<String, f64>, text: &str) {
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        if let Ok(value) = value.parse::<f64>() {
            *values.entry(name.to_owned()).or_default() += value;
        }
    }
}
