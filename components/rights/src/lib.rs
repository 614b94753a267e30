//! The share ledger: rights in bounded units, fenced by the table.
