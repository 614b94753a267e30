use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::{
    Balancer, Detector, Incarnation, Limiter, Place, Platform, PlatformError, Queue, ServiceId,
};

/// What a plug-in of a service is built from.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceContext {
    /// The service.
    pub service: ServiceId,
    /// Where this VM runs.
    pub place: Place,
    /// Number of VMs in the fleet as this VM believes. The naive plug-ins divide by it.
    pub vms: usize,
    /// Least healthy part of the service's backend servers, in [0, 1].
    pub floor: f64,
}

/// What a plug-in of a VM is built from.
#[derive(Clone, Debug, PartialEq)]
pub struct VmContext {
    /// This process start.
    pub incarnation: Incarnation,
    /// Number of VMs in the fleet as this VM believes.
    pub vms: usize,
}

/// Why no plug-in was built.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RegistryError {
    /// No plug-in of this kind has this name.
    #[error("no {kind} is named {name:?}; choose one of: {known}")]
    Unknown {
        /// Kind of plug-in.
        kind: &'static str,
        /// Name that was asked for.
        name: Box<str>,
        /// Names that exist, comma separated.
        known: Box<str>,
    },
    /// The plug-in could not be built.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

macro_rules! plugins {
    ($($plugin:ident, $build:ident, $kind:literal, $context:ty => $result:ty;)*) => {$(
        #[doc = concat!("A ", $kind, " that can be chosen by name in the settings.")]
        pub struct $plugin {
            /// Name in the settings.
            pub name: &'static str,
            /// Constructor.
            pub build: fn(&$context) -> $result,
        }

        inventory::collect!($plugin);

        #[doc = concat!("Builds the ", $kind, " with this name.")]
        pub fn $build(name: &str, context: &$context) -> Result<$result, RegistryError> {
            let mut known: Vec<&str> = Vec::new();
            for plugin in inventory::iter::<$plugin> {
                if plugin.name == name {
                    return Ok((plugin.build)(context));
                }
                known.push(plugin.name);
            }
            known.sort_unstable();
            Err(RegistryError::Unknown {
                kind: $kind,
                name: name.into(),
                known: known.join(", ").into(),
            })
        }
    )*};
}

/// How the platform is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformContext {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

plugins! {
    BalancerPlugin, build_balancer, "balancer", ServiceContext => Box<dyn Balancer>;
    DetectorPlugin, build_detector, "detector", ServiceContext => Box<dyn Detector>;
    QueuePlugin, build_queue, "queue", ServiceContext => Box<dyn Queue>;
    LimiterPlugin, build_limiter, "limiter", VmContext => Box<dyn Limiter>;
    PlatformPlugin, build_platform, "platform", PlatformContext => Platform;
}
