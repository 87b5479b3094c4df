//! Id types: validated names and 128-bit numbers.
//!
//! A name has 1 to 63 characters of `a`-`z`, `0`-`9`, `.`, `_` and `-`, and
//! starts with a letter or digit. It can therefore be used in a URL path, a
//! store key and an INI section header without escaping.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;
use snafu::Snafu;

/// Maximum length of a name in bytes.
pub(crate) const NAME_MAX_BYTES: usize = 63;

/// The reason why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The name is empty or longer than 63 bytes.
    #[snafu(display("a name has 1 to {NAME_MAX_BYTES} characters, this one has {length}"))]
    Length {
        /// Length of the rejected text in bytes.
        length: usize,
    },
    /// The name has a character that is not allowed at its position.
    #[snafu(display(
        "`{name}` has `{found}`: a name has a-z, 0-9, `.`, `_` and `-`, and starts with a letter or digit"
    ))]
    Character {
        /// The rejected text.
        name: SmolStr,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a number of 1 to 32 hexadecimal digits.
    #[snafu(display("`{text}` is not an id of 1 to 32 hexadecimal digits"))]
    Hex {
        /// The rejected text.
        text: SmolStr,
    },
}

fn check_name(name: &str) -> Result<SmolStr, IdError> {
    if name.is_empty() || name.len() > NAME_MAX_BYTES {
        return Err(IdError::Length { length: name.len() });
    }
    let allowed = |(index, c): (usize, char)| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || (index > 0 && matches!(c, '.' | '_' | '-'))
    };
    match name.char_indices().find(|&each| !allowed(each)) {
        Some((_, found)) => Err(IdError::Character { name: name.into(), found }),
        None => Ok(name.into()),
    }
}

macro_rules! name_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                check_name(text).map($name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<$name, D::Error> {
                let text = SmolStr::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

name_ids! {
    /// A team (client account): callers that use the same key, share and upper
    /// limit.
    TeamId;
    /// A customer's plan, which is one section of the list `plans`.
    PlanId;
    /// A queue to which callers send calls and jobs.
    QueueId;
    /// A pool of hosts.
    PoolId;
    /// A host, which runs an endpoint instance or a worker.
    HostId;
    /// A rack, whose hosts can all fail at the same time.
    RackId;
    /// An availability zone.
    ZoneId;
    /// A region, which contains availability zones.
    RegionId;
    /// An entry host of the system, identified by the name in its settings.
    NodeId;
}

macro_rules! hex_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u128);

        impl $name {
            /// Creates an id from a number. The caller must ensure that it is
            /// unique.
            pub const fn new(value: u128) -> $name {
                $name(value)
            }

            /// Returns the id as a number.
            pub const fn value(self) -> u128 {
                self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                let digits = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
                let value = if digits { u128::from_str_radix(text, 16).ok() } else { None };
                value.map($name).ok_or_else(|| IdError::Hex { text: text.chars().take(40).collect() })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        // Text formats such as JSON can't represent numbers of 128 bits, so the
        // id is written there as hexadecimal digits.
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                if to.is_human_readable() { to.collect_str(self) } else { to.serialize_u128(self.0) }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<$name, D::Error> {
                if !from.is_human_readable() {
                    return u128::deserialize(from).map($name);
                }
                let text = SmolStr::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({:x})", stringify!($name), self.0)
            }
        }
    )*};
}

hex_ids! {
    /// A job. The id is unique across all entry hosts and is never reused.
    JobId;
    /// One request of a caller, as received by an entry host.
    RequestId;
}
