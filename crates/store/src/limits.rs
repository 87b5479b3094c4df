//! Limits of the platform's key-value service for one call.

use crate::{Change, Error, Txn};

/// Maximum size of a value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;

/// Maximum total size of the keys and values that one transaction writes, in bytes.
pub const TXN_MAX_BYTES: usize = 3 * 512 * 1024;

/// Maximum number of conditions, and maximum number of writes, in one transaction.
pub const TXN_MAX_OPS: usize = 128;

/// Checks that a transaction keeps the limits, has no empty key and writes no key twice.
pub(crate) fn check(txn: &Txn) -> Result<(), Error> {
    if txn.compares.len() > TXN_MAX_OPS || txn.changes.len() > TXN_MAX_OPS {
        return refused(format!("a transaction has at most {TXN_MAX_OPS} conditions and writes"));
    }
    check_sizes(txn)?;
    check_keys(txn)
}

fn check_sizes(txn: &Txn) -> Result<(), Error> {
    let mut total = 0;
    for change in &txn.changes {
        if let Change::Put(put) = change {
            if put.value.len() > VALUE_MAX_BYTES {
                return refused(format!("the value of {} has {} bytes", put.key, put.value.len()));
            }
            total += put.key.0.len() + put.value.len();
        }
    }
    if total > TXN_MAX_BYTES {
        return refused(format!("the transaction has {total} bytes"));
    }
    Ok(())
}

fn check_keys(txn: &Txn) -> Result<(), Error> {
    let mut keys: Vec<_> = txn.changes.iter().map(Change::key).collect();
    keys.sort_unstable();
    if keys.first().is_some_and(|key| key.0.is_empty()) {
        return refused("a key is empty".to_owned());
    }
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => refused(format!("{} is written twice", pair[0])),
        None => Ok(()),
    }
}

fn refused(reason: String) -> Result<(), Error> {
    Err(Error::Refused { reason })
}
