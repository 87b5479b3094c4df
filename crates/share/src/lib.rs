//! Order of waiting work: shares, deadlines and floors.
