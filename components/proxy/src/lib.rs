//! HTTP from callers and to backend servers.
