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
pub struct Claimed {
    /// The new row.
    pub row: ShareRow,
    /// Units of the claimant in the new row.
    pub units: u32,
    /// Whether no unit that the claim added has been held before.
    pub fresh: bool,
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
    #[error("holder {holder:016x} has {units} units and cannot part with {wanted}")]
    TooFew {
        /// The holder.
        holder: Incarnation,
        /// Its units.
        units: u32,
        /// Units that it should part with.
        wanted: u32,
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
    pub fn claim(&self, holder: Incarnation, want: u32, max: u32) -> Result<Claimed, LedgerError> {
        let held = self.units_of(holder);
        let missing = want.min(max).saturating_sub(held);
        let take = missing.min(self.free());
        if missing > 0 && take == 0 {
            return Err(LedgerError::Exhausted { total: self.total });
        }
        let untouched = self.total.saturating_sub(self.issued);
        let fresh = take > 0 && take <= untouched;
        let mut row = self.clone();
        if take > 0 {
            row.issued += take.min(untouched);
            row.set(holder, held + take);
        }
        Ok(Claimed { row, units: held + take, fresh })
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
    pub fn give(
        &self,
        from: Incarnation,
        to: Incarnation,
        units: u32,
    ) -> Result<ShareRow, LedgerError> {
        let held = self.units_of(from);
        if held < units {
            return Err(LedgerError::TooFew { holder: from, units: held, wanted: units });
        }
        let mut row = self.release(from, held - units);
        let others = row.units_of(to);
        row.set(to, others + units);
        Ok(row)
    }

    /// Removes the entries of holders whose sessions have ended.
    pub fn prune(&self, ended: impl Fn(Incarnation) -> bool) -> ShareRow {
        let mut row = self.clone();
        row.entries.retain(|e| !ended(e.holder));
        row
    }
}
