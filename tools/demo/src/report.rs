use std::collections::BTreeMap;

use serde::Serialize;

/// What the demo prints.
#[derive(Debug, Serialize)]
pub struct Report {
    /// VMs.
    pub vms: usize,
    /// Backend servers.
    pub backends: usize,
    /// Requests answered right and whole.
    pub answered: u64,
    /// Requests refused, by kind and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Wrong responses.
    pub wrong: u64,
    /// The first wrong responses.
    pub wrong_samples: Vec<String>,
    /// Median time in ms of an answered request before the failure.
    pub healthy_median_ms: f64,
    /// 99th percentile in ms before the failure.
    pub healthy_p99_ms: f64,
    /// Median time in ms of an answered request during the failure.
    pub gray_median_ms: f64,
    /// 99th percentile in ms during the failure.
    pub gray_p99_ms: f64,
    /// The backend server that was made gray.
    pub gray: String,
    /// Backend servers that were ejected, with the reason.
    pub ejected: Vec<String>,
    /// Milliseconds from the failure to the ejection; none if there was none.
    pub ejected_after_ms: Option<u64>,
}

impl Report {
    /// Prints the report for people.
    pub fn print(&self) {
        println!("{} VMs, {} backend servers", self.vms, self.backends);
        println!("answered            {:>8}", self.answered);
        for (kind, count) in &self.refused {
            println!("refused             {count:>8}  {kind}");
        }
        println!("wrong               {:>8}", self.wrong);
        for sample in &self.wrong_samples {
            println!("  {sample}");
        }
        let healthy = (self.healthy_median_ms, self.healthy_p99_ms);
        println!("time, healthy       median {:.1} ms, 99th {:.1} ms", healthy.0, healthy.1);
        let gray = (self.gray_median_ms, self.gray_p99_ms);
        println!("time, one gray      median {:.1} ms, 99th {:.1} ms", gray.0, gray.1);
        println!("made gray           {}", self.gray);
        match self.ejected_after_ms {
            Some(after) => println!("ejected after       {after} ms: {}", self.ejected.join(", ")),
            None => println!("ejected             none"),
        }
    }
}
