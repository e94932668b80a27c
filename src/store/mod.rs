//! The platform's store as this product sees it, and what is kept there.
//!
//! `table` is the interface that an adapter fills; `publish` makes a revision the
//! newest; `claim` makes a call with a key run at most once; `blame` keeps which requests
//! reach no target. The duty that follows the
//! store is in `durable`.

pub(crate) mod blame;
pub(crate) mod claim;
pub(crate) mod publish;
pub(crate) mod table;
