//! What a VM that has an older configuration is sent.

use std::sync::Arc;

use dispatch::{ConfigHistory, ConfigUpdate};

const ROUTE_COUNT: usize = 1400;
/// What each of 480 VMs of a failure domain may receive so that all of them have it within 2.5 s
/// from one VM with a link of 10 Mbit/s.
const MAX_PATCH_BYTES: usize = 10_000_000 / 8 * 5 / 2 / 480;

fn text(version: u64, changed: &[(usize, &str)]) -> Arc<[u8]> {
    let mut text = format!("{{\"version\":\"r{version}\",\"resources\":[");
    for route in 0..ROUTE_COUNT {
        let host = route as u64 * 2_654_435_761 % 4_294_967_291;
        let service = changed.iter().find(|(at, _)| *at == route).map_or("scripts", |(_, to)| to);
        text += &format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"route-{route}\"}},\"spec\":\
             {{\"host\":\"{host:x}.example\",\"prefix\":\"/{host:x}/\",\"kind\":\"safe\",\
             \"timeout_ms\":3000,\"service\":\"{service}\",\"max_attempts\":2}}}},"
        );
    }
    text.push_str("{}]}");
    text.into_bytes().into()
}

fn history(version: u64) -> Result<ConfigHistory, std::io::Error> {
    let mut history = ConfigHistory::default();
    history.replace(version, text(version, &[]), &[])?;
    Ok(history)
}

// Guards against updates that cost as much as the whole configuration: 27 VMs that pulled 0.2 MB
// each from a VM with a link of 10 Mbit/s all timed out, for as long as versions kept coming.
#[test]
fn changed_route_costs_little_whatever_the_size_of_the_configuration()
-> Result<(), Box<dyn std::error::Error>> {
    let mut source = history(4)?;
    let behind = source.clone();
    source.replace(7, text(7, &[(700, "audio")]), &[])?;
    source.replace(9, text(9, &[(700, "audio"), (3, "audio")]), &[])?;
    let update = source.since(4)?.ok_or("no update")?;
    assert!(matches!(&update, ConfigUpdate::Patches(patches) if patches.len() == 2));
    assert!(update.size() <= MAX_PATCH_BYTES, "{} bytes", update.size());
    assert_eq!(behind.updated_text(&update)?, *text(9, &[(700, "audio"), (3, "audio")]));
    Ok(())
}

#[test]
fn received_patches_are_passed_on() -> Result<(), Box<dyn std::error::Error>> {
    let mut source = history(4)?;
    let mut second = source.clone();
    let mut third = source.clone();
    source.replace(7, text(7, &[(1, "audio")]), &[])?;
    source.replace(9, text(9, &[(2, "audio")]), &[])?;
    for _ in 0..2 {
        let Some(ConfigUpdate::Patches(patches)) = source.since(4)? else {
            return Err("no patches".into());
        };
        let received = third.updated_text(&ConfigUpdate::Patches(patches.clone()))?;
        second.replace(9, received.into(), &patches)?;
        source = second.clone();
    }
    let update = second.since(7)?.ok_or("no update")?;
    third.replace(7, text(7, &[(1, "audio")]), &[])?;
    assert_eq!(third.updated_text(&update)?, *text(9, &[(2, "audio")]));
    Ok(())
}

#[test]
fn vm_that_is_too_far_behind_gets_the_whole_configuration() -> Result<(), Box<dyn std::error::Error>>
{
    let mut source = history(4)?;
    assert_eq!(source.since(4)?, None);
    assert_eq!(source.since(5)?, None);
    let update = source.since(0)?.ok_or("no update")?;
    assert!(matches!(update, ConfigUpdate::Whole(_)));
    assert_eq!(ConfigHistory::default().updated_text(&update)?, *text(4, &[]));
    // A VM without the history of version 3.
    assert!(matches!(source.since(3)?, Some(ConfigUpdate::Whole(_))));
    Ok(())
}

#[test]
fn history_of_many_versions_stays_small() -> Result<(), Box<dyn std::error::Error>> {
    let mut source = history(1)?;
    for version in 2..300 {
        source.replace(version, text(version, &[(version as usize, "audio")]), &[])?;
    }
    let mut oldest = 1;
    while !matches!(source.since(oldest)?, Some(ConfigUpdate::Patches(_))) {
        oldest += 1;
    }
    let kept = source.since(oldest)?.ok_or("no update")?.size();
    assert!(kept <= 64 << 10, "{kept} bytes");
    assert!(oldest < 290, "only versions from {oldest} on are kept");
    Ok(())
}

// Guards against a configuration made of a patch and the text of another version.
#[test]
fn patch_that_does_not_fit_is_refused() -> Result<(), Box<dyn std::error::Error>> {
    let mut source = history(4)?;
    source.replace(7, text(7, &[(1, "audio")]), &[])?;
    let update = source.since(4)?.ok_or("no update")?;
    assert!(history(5)?.updated_text(&update).is_err());
    let mut other = ConfigHistory::default();
    other.replace(4, text(4, &[(900, "audio"), (1100, "other")]), &[])?;
    assert!(other.updated_text(&update).is_err());

    let ConfigUpdate::Patches(mut patches) = update else { return Err("no patches".into()) };
    let mut bytes = patches[0].bytes.to_vec();
    bytes.truncate(bytes.len() / 2);
    patches[0].bytes = bytes.into();
    assert!(history(4)?.updated_text(&ConfigUpdate::Patches(patches)).is_err());
    Ok(())
}
