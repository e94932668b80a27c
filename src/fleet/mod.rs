//! Which daemons there are, what each has, and which of them follow the store.
//!
//! `membership` is the kernel of the gossip protocol, `follow` chooses the
//! followers of the store; `peers` moves their messages.

pub(crate) mod follow;
pub(crate) mod membership;
pub(crate) mod peers;
