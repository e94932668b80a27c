//! Which daemons there are, what each has, and which of them follow the store.
//!
//! `membership` is the kernel of the gossip protocol, `follow` chooses the
//! followers of the store; `peers` and `rpc` move their messages.

pub(crate) mod follow;
pub(crate) mod member;
pub(crate) mod membership;
pub(crate) mod peers;
pub(crate) mod rpc;
