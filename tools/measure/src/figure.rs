//! Figures of an experiment, and their output as a table or as JSON.

use serde_json::json;

/// Side of the target on which a figure must lie.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// At most the target.
    AtMost,
    /// At least the target.
    AtLeast,
}

/// One measured figure, one sample for each run.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// What was measured.
    pub name: Box<str>,
    /// Unit of the samples.
    pub unit: &'static str,
    /// Bound and target; `None` for a figure that is only reported.
    pub target: Option<(Bound, f64)>,
    /// Samples of the naive plug-ins; empty if only the chosen design is measured.
    pub naive: Vec<f64>,
    /// Samples of the chosen design.
    pub chosen: Vec<f64>,
}

impl Figure {
    /// Creates a figure without samples.
    pub fn new(
        name: impl Into<Box<str>>,
        unit: &'static str,
        target: Option<(Bound, f64)>,
    ) -> Self {
        Figure { name: name.into(), unit, target, naive: Vec::new(), chosen: Vec::new() }
    }

    /// Returns the worst sample: the smallest for [`Bound::AtLeast`], else the largest.
    pub fn worst(&self, samples: &[f64]) -> Option<f64> {
        match self.target {
            Some((Bound::AtLeast, _)) => samples.iter().copied().reduce(f64::min),
            _ => samples.iter().copied().reduce(f64::max),
        }
    }

    /// Returns whether the worst sample of the chosen design meets the target; `None` without a
    /// target or samples.
    pub fn meets_target(&self) -> Option<bool> {
        let worst = self.worst(&self.chosen)?;
        self.target.map(|(bound, target)| match bound {
            Bound::AtMost => worst <= target,
            Bound::AtLeast => worst >= target,
        })
    }
}

/// Returns the sample at a quantile in [0, 1] by the nearest-rank method; `None` without samples.
pub fn quantile(samples: &[f64], q: f64) -> Option<f64> {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (q * sorted.len() as f64).ceil().max(1.0) as usize;
    sorted.get(rank - 1).copied()
}

fn format_value(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| format!("{v:.4}"))
}

/// Prints the figures as a table.
pub fn print_table(experiment: &str, figures: &[Figure]) {
    println!("experiment {experiment}");
    println!(
        "{:<58} {:>8} {:>12} {:>12} {:>12} {:>12} {:>12} {:>6}",
        "figure",
        "unit",
        "naive med",
        "naive worst",
        "chosen med",
        "chosen worst",
        "target",
        "kept"
    );
    for figure in figures {
        let target = match figure.target {
            Some((Bound::AtMost, t)) => format!("<= {t}"),
            Some((Bound::AtLeast, t)) => format!(">= {t}"),
            None => "-".to_owned(),
        };
        let kept = figure.meets_target().map_or("-", |k| if k { "yes" } else { "no" });
        println!(
            "{:<58} {:>8} {:>12} {:>12} {:>12} {:>12} {:>12} {:>6}",
            figure.name,
            figure.unit,
            format_value(quantile(&figure.naive, 0.5)),
            format_value(figure.worst(&figure.naive)),
            format_value(quantile(&figure.chosen, 0.5)),
            format_value(figure.worst(&figure.chosen)),
            target,
            kept
        );
    }
}

/// Prints the figures as one JSON object.
pub fn print_json(experiment: &str, figures: &[Figure]) {
    let rows: Vec<_> = figures
        .iter()
        .map(|f| {
            json!({
                "name": f.name,
                "unit": f.unit,
                "target": f.target.map(|(_, t)| t),
                "kept": f.meets_target(),
                "naive": {"median": quantile(&f.naive, 0.5), "worst": f.worst(&f.naive)},
                "chosen": {"median": quantile(&f.chosen, 0.5), "worst": f.worst(&f.chosen)},
            })
        })
        .collect();
    println!("{}", json!({"experiment": experiment, "figures": rows}));
}
