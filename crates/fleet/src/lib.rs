//! Hosts, pools, maintenance waves and moves.
