//! Which daemons there are, what each has, and which of them follow the store.
//!
//! `membership` is the kernel of the gossip protocol, `store_followers` chooses the
//! followers of the store; `peers` moves their messages.

pub(crate) mod membership;
pub(crate) mod peers;
pub(crate) mod store_followers;
