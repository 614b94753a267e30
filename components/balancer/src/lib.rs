//! Homes of services and the choice of backend servers.
