//! Stand-ins of the platform: store, host list, endpoints and workers.
