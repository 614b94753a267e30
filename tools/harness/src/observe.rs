use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use http::Method;
use serde_json::Value;

use crate::caller::{Caller, send_request};
use crate::fleet::Fleet;
use crate::sample_config::sample_changes;

/// Time limit of a wait for a condition; generous for slow machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

impl Fleet {
    /// Returns the report `GET /seen` of a backend server.
    pub async fn backend_report(&self, backend: usize) -> anyhow::Result<Value> {
        let response =
            send_request(self.backend_control_address(backend), &Method::GET, "/seen", &[], "")
                .await?;
        Ok(response.json())
    }

    /// Returns how many runs of the request with this idempotency key were started on all backend
    /// servers together.
    pub async fn run_count(&self, key: &str) -> anyhow::Result<u64> {
        let mut runs = 0;
        for backend in 0..self.backends.len() {
            runs += self.backend_report(backend).await?["runs"][key].as_u64().unwrap_or(0);
        }
        Ok(runs)
    }

    /// Returns whether any backend server received a text, which must consist of letters, digits
    /// and `-`.
    pub async fn any_received(&self, text: &str) -> anyhow::Result<bool> {
        let mut found = false;
        for backend in 0..self.backends.len() {
            let target = format!("/seen?text={text}");
            let report =
                send_request(self.backend_control_address(backend), &Method::GET, &target, &[], "")
                    .await?
                    .json();
            ensure!(
                report["forgotten"] == 0,
                "backend server {backend} did not keep all received bytes"
            );
            found |=
                report["present"].as_bool().context("the report says nothing about the text")?;
        }
        Ok(found)
    }

    /// Waits until a backend server starts to run the request with this idempotency key.
    pub async fn wait_until_running(&self, key: &str) -> anyhow::Result<()> {
        let start = Instant::now();
        while self.run_count(key).await? == 0 {
            ensure!(start.elapsed() < WAIT_TIMEOUT, "no backend server started to run {key}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Waits until the status of every running VM lists `count` VMs that respond, which are those
    /// with a freshness.
    pub async fn wait_for_members(&self, count: usize) -> anyhow::Result<()> {
        let start = Instant::now();
        for vm in (0..self.vms.len()).filter(|i| self.vms[*i].is_some()) {
            loop {
                let status = self.operator(vm).await?.status(Default::default()).await?;
                if status.vms.iter().filter(|v| v.freshness.is_some()).count() == count {
                    break;
                }
                if start.elapsed() > WAIT_TIMEOUT {
                    bail!("VM {vm} did not find {count} VMs in time: {:?}", status.vms);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Applies the sample configuration and waits until every VM serves requests with it.
    pub async fn apply_sample_config(&self) -> anyhow::Result<()> {
        self.wait_for_members(self.vms.len()).await?;
        let version = self.apply(0, sample_changes(self)).await?;
        self.wait_for_version(version).await?;
        for vm in 0..self.vms.len() {
            self.wait_until_serving(vm).await?;
        }
        Ok(())
    }

    /// Waits until a VM serves a request with the sample key.
    pub async fn wait_until_serving(&self, vm: usize) -> anyhow::Result<()> {
        let start = Instant::now();
        let headers = [("papayareel-key", crate::sample_config::KEY)];
        let mut caller = Caller::new(self.caller_address(vm));
        loop {
            let last = match caller.send(&Method::GET, "/manus/probe", &headers, "").await {
                Ok(response) if response.status == 200 => return Ok(()),
                Ok(response) => format!("{} {}", response.status, response.json()),
                Err(error) => format!("{error:#}"),
            };
            if start.elapsed() > WAIT_TIMEOUT {
                bail!("VM {vm} did not serve in time: {last}");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Asks a VM for the home of a service in a region. Returns the prefix of idempotency keys
    /// that names the home, and the index of the home in `vms`.
    pub async fn idempotency_prefix(
        &self,
        vm: usize,
        service: &str,
        region: &str,
    ) -> anyhow::Result<(String, usize)> {
        let target = format!("/.papayareel/entry?service={service}&region={region}");
        let entry =
            send_request(self.caller_address(vm), &Method::GET, &target, &[], "").await?.json();
        let first = &entry["addresses"][0];
        let prefix = first["idempotency_prefix"].as_str().context("the entry has no prefix")?;
        let address = first["address"].as_str().context("the entry has no address")?;
        let home = (0..self.vms.len()).find(|i| self.caller_address(*i).to_string() == address);
        Ok((prefix.to_owned(), home.context("the entry names an unknown VM")?))
    }
}
