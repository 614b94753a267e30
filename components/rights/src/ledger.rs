use kernel::Incarnation;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Key of the row of a right.
pub fn right_key(kind: &str, id: &str) -> Box<str> {
    format!("rights/{kind}/{id}").into()
}

/// Units that one incarnation holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// Incarnation that holds the units.
    pub holder: Incarnation,
    /// Number of units. At least 1.
    pub units: u32,
}

/// Row of a right in the platform's table.
///
/// The row is never deleted, since `issued` records how many units have been held at any time.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RightRow {
    /// Total number of units.
    pub total: u32,
    /// Number of units that have been held at any time. At least the sum of all entries.
    pub issued: u32,
    /// One entry for each holder.
    pub entries: Vec<HolderEntry>,
}

/// Result of a claim on a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimedRow {
    /// Row after the claim.
    pub row: RightRow,
    /// Units that the claimant holds in the new row.
    pub units: u32,
    /// Whether the claim added units and none of them has been held before.
    pub first_use: bool,
}

/// Why a change of a row is not allowed.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum LedgerError {
    /// All units are held.
    #[error("all {total} units are held; wait until a holder releases units or its session ends")]
    Exhausted {
        /// Total number of units.
        total: u32,
    },
    /// A transfer asks for more units than the holder has.
    #[error("holder {holder:016x} has {units} units and cannot transfer {requested}")]
    InsufficientUnits {
        /// Holder that the units are taken from.
        holder: Incarnation,
        /// Units that it holds.
        units: u32,
        /// Units to transfer.
        requested: u32,
    },
}

impl RightRow {
    /// Creates a row without holders.
    pub fn new(total: u32) -> Self {
        RightRow { total, issued: 0, entries: Vec::new() }
    }

    /// Number of units of one holder.
    pub fn units_of(&self, holder: Incarnation) -> u32 {
        self.entries.iter().filter(|e| e.holder == holder).map(|e| e.units).sum()
    }

    /// Number of units that nobody holds.
    pub fn free(&self) -> u32 {
        let held: u32 = self.entries.iter().map(|e| e.units).sum();
        self.total.saturating_sub(held)
    }

    /// Sets the units of a holder; 0 removes its entry.
    fn set(&mut self, holder: Incarnation, units: u32) {
        self.entries.retain(|e| e.holder != holder);
        if units > 0 {
            self.entries.push(HolderEntry { holder, units });
        }
        let held: u32 = self.entries.iter().map(|e| e.units).sum();
        self.issued = self.issued.max(held);
    }

    /// Raises the units of a holder to the lower one of `want` and `max`, as far as units are free.
    ///
    /// The row does not change if the holder already has that many.
    pub fn claim(
        &self,
        holder: Incarnation,
        want: u32,
        max: u32,
    ) -> Result<ClaimedRow, LedgerError> {
        let held = self.units_of(holder);
        let missing = want.min(max).saturating_sub(held);
        let added = missing.min(self.free());
        if missing > 0 && added == 0 {
            return Err(LedgerError::Exhausted { total: self.total });
        }
        let never_used = self.total.saturating_sub(self.issued);
        let first_use = added > 0 && added <= never_used;
        let mut row = self.clone();
        if added > 0 {
            row.issued += added.min(never_used);
            row.set(holder, held + added);
        }
        Ok(ClaimedRow { row, units: held + added, first_use })
    }

    /// Lowers the units of a holder to `keep`. Only the holder may do this, and only after it has
    /// stopped using the units.
    pub fn release(&self, holder: Incarnation, keep: u32) -> RightRow {
        let mut row = self.clone();
        let units = self.units_of(holder).min(keep);
        row.set(holder, units);
        row
    }

    /// Moves units from one holder to another. Only the holder `from` may do this, and only after
    /// it has stopped using the units.
    pub fn transfer(
        &self,
        from: Incarnation,
        to: Incarnation,
        units: u32,
    ) -> Result<RightRow, LedgerError> {
        let held = self.units_of(from);
        if held < units {
            return Err(LedgerError::InsufficientUnits {
                holder: from,
                units: held,
                requested: units,
            });
        }
        let mut row = self.release(from, held - units);
        let receiver_units = row.units_of(to);
        row.set(to, receiver_units + units);
        Ok(row)
    }

    /// Removes the entries of holders whose sessions have expired.
    pub fn remove_expired(&self, is_expired: impl Fn(Incarnation) -> bool) -> RightRow {
        let mut row = self.clone();
        row.entries.retain(|e| !is_expired(e.holder));
        row
    }
}
