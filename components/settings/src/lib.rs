//! JSON settings, checked in one pass.

mod check;
mod error;
mod field;
mod raw;
mod secret;
mod settings;
mod table;
mod unique;

pub use error::{Problem, SettingsError};
pub use secret::Secret;
pub use settings::{
    Entry, Freshness, Limits, Listen, Log, LogFormat, PlatformSettings, Plugins, Secrets, Session,
    Settings, Traces,
};
pub use table::{Bounds, Preset, SETTINGS, SettingInfo, settings_table};
