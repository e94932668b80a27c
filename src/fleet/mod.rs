//! Which daemons there are, what each has, and which of them follow the store.
//!
//! `membership` is the kernel of the gossip protocol, with `news` (what is still to
//! be spread) and `rounds` (whom to probe next); `follow` chooses the
//! followers of the store; `peers` and `rpc` move their messages.

pub(crate) mod follow;
pub(crate) mod member;
pub(crate) mod membership;
pub(crate) mod news;
pub(crate) mod peers;
pub(crate) mod rounds;
pub(crate) mod rpc;
