//! The platform's store as this product sees it, and what is kept there.
//!
//! `table` is the interface that an adapter fills; `durable` is the duty that
//! follows the store; `claim` makes a call with a key run at most once.

pub(crate) mod claim;
pub(crate) mod durable;
pub(crate) mod table;
