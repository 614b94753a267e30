use std::collections::HashMap;
use std::sync::Arc;

use ::rights::HeldUnits;
use ::rights::RightsError;
use kernel::prelude::*;
use tokio::sync::mpsc;

use crate::shared::Shared;

/// Kind of the rights to an organisation's rate.
pub const RATE: &str = "rate";
/// Kind of the rights to eject backend servers of a service.
pub const EJECT: &str = "eject";
/// Part of the lease without a renewal after which operators are told.
const AT_RISK: f64 = 0.75;

/// Asks for another number of units of an organisation's rate.
#[derive(Debug)]
pub enum ClaimRequest {
    /// Hold this many units in all.
    Claim(OrganisationId, u32),
    /// Keep this many units at most.
    Release(OrganisationId, u32),
}

impl Shared {
    /// Renews the session and gives the limiter what is held. Returns whether that succeeded.
    async fn renew_session(self: &Arc<Self>) -> bool {
        let mut holder = self.holder.lock().await;
        match holder.renew().await {
            Ok(renewal) => {
                if renewal.expired {
                    telemetry::event!(RIGHTS_LOST);
                }
                self.tell_limiter(&holder.held(), renewal.expired);
                true
            }
            Err(error) => {
                telemetry::event!(SESSION_UNRENEWED, error = error.to_string());
                false
            }
        }
    }

    /// Tells the limiter what is held; after a lapse also what is gone.
    fn tell_limiter(&self, held: &[(Box<str>, Box<str>, HeldUnits)], lapsed: bool) {
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
        if lapsed {
            let rated = self.rated();
            for id in rated.iter().filter(|id| !rates.contains_key(&***id)) {
                limiter.set_units(now, id, 0, limiter::RATE_UNITS, now, false);
            }
        }
    }

    /// Stops using the units of all rates. They may be released afterwards.
    pub async fn give_up_rates(&self) {
        let held = self.holder.lock().await.held();
        let now = self.now();
        let mut limiter = self.limiter();
        for (_, id, held) in held.iter().filter(|(kind, ..)| &**kind == RATE) {
            limiter.set_units(now, id, 0, held.total, now, false);
        }
    }

    /// Keeps the session and the budgets of ejections.
    pub async fn keep_rights(self: &Arc<Self>) {
        let mut renewed = None;
        let mut held_since = self.now();
        let risk = self.settings.session.lease.mul_f64(AT_RISK);
        loop {
            let now = self.now();
            let due = renewed.is_none_or(|at| now >= at + self.settings.session.renew_interval);
            if due {
                renewed = Some(now);
                if self.renew_session().await {
                    held_since = now;
                } else if now >= held_since + risk {
                    let age_s = (now - held_since).as_secs();
                    telemetry::event!(SESSION_AT_RISK, age_s = age_s);
                }
            }
            self.keep_ejections().await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Claims rights to eject for the services that this VM is home of, and sets the budgets.
    async fn keep_ejections(self: &Arc<Self>) {
        let Some(engine) = self.engine() else { return };
        let lookup = self.lookup.load_full();
        let view = self.view.load_full();
        let region = &self.me.place.region;
        for (id, home) in engine.schedulers() {
            let Some(service) = lookup.config.services.get(&id) else { continue };
            let all = service.backends.len();
            let local = service.backends.iter().filter(|b| b.place.region == *region).count();
            let floor = (service.min_healthy * all as f64).ceil() as usize;
            let total = all.saturating_sub(floor);
            // Regions get rights in proportion to their backend servers, so that the home of one
            // region cannot take them all.
            let share = (total * local).checked_div(all).unwrap_or(0);
            let is_home = view
                .homes(&id, region)
                .first()
                .is_some_and(|vm| vm.incarnation == self.me.incarnation);
            let want = if is_home && !self.flags.stopping() { share } else { 0 };
            let mut holder = self.holder.lock().await;
            let held = holder
                .held()
                .into_iter()
                .find(|(kind, name, _)| &**kind == EJECT && *name == id)
                .map_or(0, |(_, _, held)| held.units);
            let (want, total) = (to_units(want), to_units(total));
            if want < held {
                home.set_ejection_budget(want as usize);
                match holder.release(EJECT, &id, want).await {
                    Ok(_) => {
                        telemetry::event!(RIGHTS_RETURNED, kind = EJECT, id = id, units = want);
                    }
                    Err(error) => note_unchanged(EJECT, &id, &error),
                }
                continue;
            }
            let mut units = held;
            if want > held {
                match holder.claim(EJECT, &id, want, total, want).await {
                    Ok(claimed) => {
                        units = claimed.units;
                        telemetry::event!(RIGHTS_CLAIMED, kind = EJECT, id = id, units = units);
                    }
                    Err(error) => note_unchanged(EJECT, &id, &error),
                }
            }
            home.set_ejection_budget(units as usize);
        }
    }

    /// Claims and releases units of rates as the limiter asks for them.
    pub async fn keep_rates(self: &Arc<Self>, mut claims: mpsc::UnboundedReceiver<ClaimRequest>) {
        while let Some(request) = claims.recv().await {
            match request {
                // A right claimed while this VM stops could be lost with it.
                ClaimRequest::Claim(..) if self.flags.stopping() => {}
                ClaimRequest::Claim(organisation, units) => {
                    self.claim_rate(organisation, units).await;
                }
                ClaimRequest::Release(organisation, units) => {
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
            Err(error) => note_unchanged(RATE, &organisation, &error),
        }
    }

    async fn release_rate(self: &Arc<Self>, organisation: OrganisationId, units: u32) {
        let mut holder = self.holder.lock().await;
        if let Err(error) = holder.release(RATE, &organisation, units).await {
            // The holder keeps the units unused and repeats the write with the next renewal.
            note_unchanged(RATE, &organisation, &error);
        }
        let kept = holder.held().into_iter().find(|(k, id, _)| &**k == RATE && *id == organisation);
        let now = self.now();
        let (units, until) = kept.map_or((0, now), |(_, _, held)| (held.units, held.expires_at));
        let total = limiter::RATE_UNITS;
        self.limiter().set_units(now, &organisation, units, total, until, false);
    }
}

fn note_unchanged(kind: &str, id: &str, error: &RightsError) {
    telemetry::event!(RIGHTS_UNCHANGED, kind = kind, id = id, error = error.to_string());
}

fn to_units(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
