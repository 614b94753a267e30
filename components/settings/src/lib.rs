//! The settings file of a VM: JSON, checked in one pass.

mod check;
mod duplicates;
mod error;
mod field;
mod raw;
mod secret;
mod settings;
mod table;

pub use error::{Problem, SettingsError};
pub use secret::Secret;
pub use settings::{
    Freshness, Limits, Listen, Log, LogFormat, PlatformSettings, Plugins, Resolve, Secrets,
    Session, Settings, Traces,
};
pub use table::{Constraint, DefaultValue, SETTINGS, SettingInfo, settings_table};
