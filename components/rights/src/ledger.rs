use kernel::Incarnation;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Key of the row of a right.
pub fn right_key(kind: &str, id: &str) -> Box<str> {
    format!("rights/{kind}/{id}").into()
}

/// Units that one incarnation holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The holder.
    pub holder: Incarnation,
    /// Its units. At least 1.
    pub units: u32,
}

/// Row of a right.
///
/// It is never deleted, since `issued` tells which units have been in use.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareRow {
    /// Units in all.
    pub total: u32,
    /// Units that have been held at any time. At least the sum of all entries.
    pub issued: u32,
    /// One entry for each holder.
    pub entries: Vec<Entry>,
}

/// A row after a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimedRow {
    /// The new row.
    pub row: ShareRow,
    /// Units of the claimant in the new row.
    pub units: u32,
    /// Whether no unit that the claim added has been held before.
    pub first_use: bool,
}

/// Why a transition of a row is not allowed.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum LedgerError {
    /// All units are held.
    #[error("all {total} units are held; wait until a holder releases units or its session ends")]
    Exhausted {
        /// Units in all.
        total: u32,
    },
    /// A holder gives away more than it has.
    #[error("holder {holder:016x} has {units} units and cannot part with {requested}")]
    InsufficientUnits {
        /// The holder.
        holder: Incarnation,
        /// Its units.
        units: u32,
        /// Units that it should part with.
        requested: u32,
    },
}

impl ShareRow {
    /// A row without holders.
    pub fn new(total: u32) -> Self {
        ShareRow { total, issued: 0, entries: Vec::new() }
    }

    /// Units of one holder.
    pub fn units_of(&self, holder: Incarnation) -> u32 {
        self.entries.iter().filter(|e| e.holder == holder).map(|e| e.units).sum()
    }

    /// Units that nobody holds.
    pub fn free(&self) -> u32 {
        let held: u32 = self.entries.iter().map(|e| e.units).sum();
        self.total.saturating_sub(held)
    }

    fn set(&mut self, holder: Incarnation, units: u32) {
        self.entries.retain(|e| e.holder != holder);
        if units > 0 {
            self.entries.push(Entry { holder, units });
        }
        let held: u32 = self.entries.iter().map(|e| e.units).sum();
        self.issued = self.issued.max(held);
    }

    /// Raises the units of a holder to `want` in all, at most `max`, as far as units are free.
    ///
    /// The row stays as it is if the holder has as many already.
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

    /// Lowers the units of a holder to `keep`. Only the holder may do this, after it has stopped
    /// using the units.
    pub fn release(&self, holder: Incarnation, keep: u32) -> ShareRow {
        let mut row = self.clone();
        let units = self.units_of(holder).min(keep);
        row.set(holder, units);
        row
    }

    /// Moves units from one holder to another. Only the giver may do this, after it has stopped
    /// using the units.
    pub fn transfer(
        &self,
        from: Incarnation,
        to: Incarnation,
        units: u32,
    ) -> Result<ShareRow, LedgerError> {
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

    /// Removes the entries of holders whose sessions have ended.
    pub fn prune(&self, ended: impl Fn(Incarnation) -> bool) -> ShareRow {
        let mut row = self.clone();
        row.entries.retain(|e| !ended(e.holder));
        row
    }
}
