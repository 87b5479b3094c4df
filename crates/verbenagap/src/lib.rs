//! Manager of fleet capacity and maintenance.
