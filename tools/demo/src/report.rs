use std::collections::BTreeMap;

use serde::Serialize;

/// Result of a demo run. The field names are the keys of the `--json` output.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Number of VMs.
    pub vms: usize,
    /// Number of backend servers.
    pub backends: usize,
    /// Requests that got a correct and complete response.
    pub answered: u64,
    /// Refused requests, by error kind and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Incorrect responses and requests without a response.
    pub wrong: u64,
    /// Descriptions of the first incorrect responses.
    pub wrong_samples: Vec<String>,
    /// Median response time in ms before the failure.
    pub healthy_median_ms: f64,
    /// 99th percentile of the response time in ms before the failure.
    pub healthy_p99_ms: f64,
    /// Median response time in ms during the failure.
    pub gray_median_ms: f64,
    /// 99th percentile of the response time in ms during the failure.
    pub gray_p99_ms: f64,
    /// Backend server that was made gray.
    pub gray: String,
    /// Ejected backend servers, each with the reason.
    pub ejected: Vec<String>,
    /// Milliseconds from the failure to the ejection; `None` if nothing was ejected.
    pub ejected_after_ms: Option<u64>,
}

impl Report {
    /// Prints the report as text.
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
