use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::{
    Balancer, Detector, Incarnation, Limiter, Place, Platform, PlatformError, Queue, ServiceId,
};

/// Input for building a plug-in of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceContext {
    /// The service.
    pub service: ServiceId,
    /// Region and failure domain of this VM.
    pub place: Place,
    /// Estimated number of VMs in the fleet. The naive plug-ins divide capacity by it.
    pub vms: usize,
    /// Minimum fraction of the service's backend servers that must not be ejected, in [0, 1].
    pub min_healthy: f64,
}

/// Input for building a plug-in that serves the whole VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmContext {
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Estimated number of VMs in the fleet.
    pub vms: usize,
}

/// Error while building a plug-in.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RegistryError {
    /// No plug-in of this kind has this name.
    #[error("no {kind} is named {name:?}; choose one of: {known}")]
    Unknown {
        /// Kind of plug-in.
        kind: &'static str,
        /// Requested name.
        name: Box<str>,
        /// Available names, separated by commas.
        known: Box<str>,
    },
    /// The plug-in could not be built.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

macro_rules! plugins {
    ($($plugin:ident, $build:ident, $kind:literal, $context:ty => $result:ty;)*) => {$(
        #[doc = concat!("A ", $kind, " that the settings select by name.")]
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

/// Input for building the platform client.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformContext {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
}

plugins! {
    BalancerPlugin, build_balancer, "balancer", ServiceContext => Box<dyn Balancer>;
    DetectorPlugin, build_detector, "detector", ServiceContext => Box<dyn Detector>;
    QueuePlugin, build_queue, "queue", ServiceContext => Box<dyn Queue>;
    LimiterPlugin, build_limiter, "limiter", VmContext => Box<dyn Limiter>;
    PlatformPlugin, build_platform, "platform", PlatformContext => Platform;
}
