use std::collections::HashMap;
use std::sync::Arc;

use ::rights::HeldUnits;
use ::rights::RightsError;
use kernel::prelude::*;
use tokio::sync::mpsc;

use crate::shared::Shared;

/// Kind of the rights to units of an organisation's rate.
pub const RATE: &str = "rate";
/// Kind of the rights to eject backend servers of a service.
pub const EJECT: &str = "eject";
/// Fraction of the lease without a renewal after which `SESSION_AT_RISK` is logged.
const AT_RISK_FRACTION: f64 = 0.75;

/// Request to change the number of held units of an organisation's rate.
#[derive(Debug)]
pub enum RateRequest {
    /// Hold this many units in total.
    Claim(OrganisationId, u32),
    /// Keep this many units at most.
    Release(OrganisationId, u32),
}

impl Shared {
    /// Renews the session and passes the held units to the limiter. Returns whether the renewal
    /// succeeded.
    async fn renew_session(self: &Arc<Self>) -> bool {
        let mut holder = self.holder.lock().await;
        match holder.renew().await {
            Ok(renewal) => {
                if renewal.expired {
                    telemetry::event!(RIGHTS_LOST);
                }
                self.update_limiter(&holder.held(), renewal.expired);
                true
            }
            Err(error) => {
                telemetry::event!(SESSION_UNRENEWED, error = error.to_string());
                false
            }
        }
    }

    /// Passes the held units to the limiter. If the lease has expired, also sets the units of all
    /// other organisations to 0.
    fn update_limiter(&self, held: &[(Box<str>, Box<str>, HeldUnits)], expired: bool) {
        let now = self.now();
        let mut limiter = self.limiter();
        let rates: HashMap<&str, &HeldUnits> = held
            .iter()
            .filter(|(kind, ..)| &**kind == RATE)
            .map(|(_, id, held)| (&**id, held))
            .collect();
        for (id, held) in &rates {
            limiter.set_units(now, id, held.units, held.total, held.expires_at, false);
        }
        if expired {
            let known_rates = self.known_rates();
            for id in known_rates.iter().filter(|id| !rates.contains_key(&***id)) {
                limiter.set_units(now, id, 0, limiter::RATE_UNITS, now, false);
            }
        }
    }

    /// Stops using the units of all rates, so that they may be released afterwards.
    pub async fn stop_using_rates(&self) {
        let held = self.holder.lock().await.held();
        let now = self.now();
        let mut limiter = self.limiter();
        for (_, id, held) in held.iter().filter(|(kind, ..)| &**kind == RATE) {
            limiter.set_units(now, id, 0, held.total, now, false);
        }
    }

    /// Renews the session and updates the ejection budgets, for as long as the process runs.
    pub async fn maintain_rights(self: &Arc<Self>) {
        let mut last_renewal = None;
        let mut last_success = self.now();
        let at_risk = self.settings.session.lease.mul_f64(AT_RISK_FRACTION);
        loop {
            let now = self.now();
            let due =
                last_renewal.is_none_or(|at| now >= at + self.settings.session.renew_interval);
            if due {
                last_renewal = Some(now);
                if self.renew_session().await {
                    last_success = now;
                } else if now >= last_success + at_risk {
                    let age_s = (now - last_success).as_secs();
                    telemetry::event!(SESSION_AT_RISK, age_s = age_s);
                }
            }
            self.update_ejection_budgets().await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Claims or releases the rights to eject of the services whose home is this VM, and sets their
    /// ejection budgets.
    async fn update_ejection_budgets(self: &Arc<Self>) {
        let Some(engine) = self.engine() else { return };
        let lookup = self.lookup.load_full();
        let view = self.view.load_full();
        let region = &self.this_vm.place.region;
        for (id, home) in engine.schedulers() {
            let Some(service) = lookup.config.services.get(&id) else { continue };
            let all = service.backends.len();
            let local = service.backends.iter().filter(|b| b.place.region == *region).count();
            let min_healthy = (service.min_healthy * all as f64).ceil() as usize;
            let total = all.saturating_sub(min_healthy);
            // The rights are divided among the regions in proportion to their backend servers, so
            // that the home of one region cannot take them all.
            let region_share = (total * local).checked_div(all).unwrap_or(0);
            let is_home = view
                .homes(&id, region)
                .first()
                .is_some_and(|vm| vm.incarnation == self.this_vm.incarnation);
            let target = if is_home && !self.flags.stopping() { region_share } else { 0 };
            let mut holder = self.holder.lock().await;
            let held = holder
                .held()
                .into_iter()
                .find(|(kind, name, _)| &**kind == EJECT && *name == id)
                .map_or(0, |(_, _, held)| held.units);
            let (target, total) = (to_units(target), to_units(total));
            if target < held {
                home.set_ejection_budget(target as usize);
                match holder.release(EJECT, &id, target).await {
                    Ok(_) => {
                        telemetry::event!(RIGHTS_RETURNED, kind = EJECT, id = id, units = target);
                    }
                    Err(error) => log_rights_error(EJECT, &id, &error),
                }
                continue;
            }
            let mut units = held;
            if target > held {
                match holder.claim(EJECT, &id, target, total, target).await {
                    Ok(claimed) => {
                        units = claimed.units;
                        telemetry::event!(RIGHTS_CLAIMED, kind = EJECT, id = id, units = units);
                    }
                    Err(error) => log_rights_error(EJECT, &id, &error),
                }
            }
            home.set_ejection_budget(units as usize);
        }
    }

    /// Claims and releases units of rates as the limiter requests.
    pub async fn handle_rate_requests(
        self: &Arc<Self>,
        mut requests: mpsc::UnboundedReceiver<RateRequest>,
    ) {
        while let Some(request) = requests.recv().await {
            match request {
                // A unit claimed while this VM stops might not be released before it exits.
                RateRequest::Claim(..) if self.flags.stopping() => {}
                RateRequest::Claim(organisation, units) => {
                    self.claim_rate(organisation, units).await;
                }
                RateRequest::Release(organisation, units) => {
                    self.release_rate(organisation, units).await;
                }
            }
        }
    }

    async fn claim_rate(self: &Arc<Self>, organisation: OrganisationId, units: u32) {
        let total = limiter::RATE_UNITS;
        let claimed =
            self.holder.lock().await.claim(RATE, &organisation, units, total, total).await;
        match claimed {
            Ok(held) => {
                let now = self.now();
                self.limiter().set_units(
                    now,
                    &organisation,
                    held.units,
                    held.total,
                    held.expires_at,
                    held.first_use,
                );
            }
            Err(error) => log_rights_error(RATE, &organisation, &error),
        }
    }

    async fn release_rate(self: &Arc<Self>, organisation: OrganisationId, units: u32) {
        let mut holder = self.holder.lock().await;
        if let Err(error) = holder.release(RATE, &organisation, units).await {
            // The holder does not use the units and retries the write with the next renewal.
            log_rights_error(RATE, &organisation, &error);
        }
        let remaining =
            holder.held().into_iter().find(|(k, id, _)| &**k == RATE && *id == organisation);
        let now = self.now();
        let (units, expires_at) =
            remaining.map_or((0, now), |(_, _, held)| (held.units, held.expires_at));
        let total = limiter::RATE_UNITS;
        self.limiter().set_units(now, &organisation, units, total, expires_at, false);
    }
}

fn log_rights_error(kind: &str, id: &str, error: &RightsError) {
    telemetry::event!(RIGHTS_UNCHANGED, kind = kind, id = id, error = error.to_string());
}

fn to_units(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
