use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use operator::{RateShare, Status, StatusQuery, VmLiveness, eject_reason_name};

use super::Session;
use super::table::render_table;

/// Shows the VMs, the ejected backend servers and the rate shares that each VM holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// organisation whose rate shares are shown; may be repeated; without it, the shares that the
    /// queried VM holds are shown
    #[argh(option)]
    organisation: Vec<String>,
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    let organisations = args.organisation.into_iter().map(Into::into).collect();
    let status = session.client().await?.status(StatusQuery { organisations }).await?;
    session.print_result(&status, render)
}

fn render(status: &Status) -> String {
    let mut text = format!(
        "VM {} has configuration version {}; its last store request {}\n\n",
        status.vm,
        status.version,
        if status.store_reachable { "was answered" } else { "was not answered" },
    );
    text += &render_vms(status);
    if status.ejections.is_empty() {
        text += "\nno backend server is ejected\n";
    } else {
        text += "\n";
        text += &render_ejections(status);
    }
    if !status.rates.is_empty() {
        text += "\n";
        text += &render_rates(status);
    }
    text
}

fn render_vms(status: &Status) -> String {
    let state = |liveness| match liveness {
        VmLiveness::Live => "live",
        VmLiveness::Leaving => "leaving",
        VmLiveness::Silent => "silent",
    };
    let rows: Vec<_> = status
        .vms
        .iter()
        .map(|vm| {
            vec![
                vm.vm.to_string(),
                vm.place.region.to_string(),
                vm.place.domain.to_string(),
                state(vm.liveness).to_owned(),
                if vm.version == 0 { "?".to_owned() } else { vm.version.to_string() },
                vm.freshness.map_or("?".to_owned(), format_age),
            ]
        })
        .collect();
    render_table(&["VM", "REGION", "DOMAIN", "STATE", "VERSION", "CONFIRMED"], &rows)
}

fn render_ejections(status: &Status) -> String {
    let rows: Vec<_> = status
        .ejections
        .iter()
        .map(|ejection| {
            vec![
                ejection.service.to_string(),
                ejection.backend.to_string(),
                eject_reason_name(ejection.reason).to_owned(),
                format_age(ejection.since),
                ejection.vm.to_string(),
            ]
        })
        .collect();
    render_table(&["SERVICE", "EJECTED", "REASON", "SINCE", "BY"], &rows)
}

fn render_rates(status: &Status) -> String {
    let share = |share: &RateShare| match &share.vm {
        Some(vm) => format!("{vm}:{}", share.units),
        None => format!("gone({:x}):{}", share.incarnation, share.units),
    };
    let rows: Vec<_> = status
        .rates
        .iter()
        .map(|rate| {
            let held: u32 = rate.shares.iter().map(|share| share.units).sum();
            vec![
                rate.organisation.to_string(),
                format!("{held}/{}", rate.total),
                rate.shares.iter().map(share).collect::<Vec<_>>().join(" "),
            ]
        })
        .collect();
    render_table(&["ORGANISATION", "UNITS", "HOLDERS"], &rows)
}

fn format_age(age: Duration) -> String {
    format!("{:.1} s ago", age.as_secs_f64())
}
