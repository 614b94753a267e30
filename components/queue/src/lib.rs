//! Fair and deadline-aware queue of one service.
