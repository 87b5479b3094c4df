//! Upper limits of teams as units held by nodes.
