//! Detection of gray backend servers from real requests.
