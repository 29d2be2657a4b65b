//! Values with units in configuration files: `250ms`, `3s`, `2m`, `512MB`, `4GB`.

use std::fmt;

use derive_more::{Deref, From};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use myrtle_base::Millis;

/// A duration that is written with its unit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deref, From)]
pub struct Span(pub Millis);

/// A memory size in megabytes that is written with its unit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deref, From)]
pub struct Megabytes(pub u32);

/// Time units in milliseconds, in rising order.
const TIME_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
/// Memory units in megabytes, in rising order.
const MEMORY_UNITS: &[(&str, u64)] = &[("MB", 1), ("GB", 1_000), ("TB", 1_000_000)];

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unit(f, self.0.0, TIME_UNITS)
    }
}

impl fmt::Display for Megabytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unit(f, u64::from(self.0), MEMORY_UNITS)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl Serialize for Megabytes {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        let n = read_unit(&text, TIME_UNITS).map_err(D::Error::custom)?;
        Ok(Span(Millis(n)))
    }
}

impl<'de> Deserialize<'de> for Megabytes {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        let n = read_unit(&text, MEMORY_UNITS).map_err(D::Error::custom)?;
        let n = u32::try_from(n).map_err(|_| D::Error::custom("the size is too large"))?;
        Ok(Megabytes(n))
    }
}

/// Parses a whole number that is followed by one of the units, in multiples of the smallest unit.
fn read_unit(text: &str, units: &[(&str, u64)]) -> Result<u64, String> {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, name) = text.split_at(end);
    let unit = units.iter().find(|u| u.0 == name.trim());
    let (Ok(n), Some(unit)) = (digits.parse::<u64>(), unit) else {
        let names: Vec<_> = units.iter().map(|u| u.0).collect();
        let names = names.join(", ");
        return Err(format!("'{text}' is not a whole number followed by one of {names}"));
    };
    n.checked_mul(unit.1).ok_or_else(|| format!("'{text}' is too large"))
}

/// Writes a number in the largest unit that divides it.
fn write_unit(f: &mut fmt::Formatter<'_>, n: u64, units: &[(&str, u64)]) -> fmt::Result {
    let unit = units.iter().rev().find(|u| n > 0 && n.is_multiple_of(u.1)).unwrap_or(&units[0]);
    write!(f, "{}{}", n / unit.1, unit.0)
}
