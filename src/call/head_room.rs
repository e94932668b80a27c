//! Memory for the heads of long requests that an entry or a guard has.
//!
//! A header field of a few bytes takes many times as much once it is parsed.

use std::cell::Cell;
use std::rc::Rc;

use http::Request;

use crate::base::memory_plan::{MemoryPlan, MemoryUse};
use crate::base::wire::CallHead;

/// Memory of a parsed header field besides its bytes.
const FIELD_BYTES: u64 = 240;

/// Number of copies of a head's bytes that an entry or a guard has at the same time.
const COPIES: u64 = 4;

/// Memory of a head, in bytes, up to which it counts as part of its connection.
const SHORT_HEAD_BYTES: u64 = 16 << 10;

/// Memory for all long heads of a duty.
pub(crate) struct HeadRoom {
    limit: u64,
    held: Cell<u64>,
}

/// Memory of one head, which is returned when this is dropped.
pub(crate) struct HeadPermit {
    room: Rc<HeadRoom>,
    bytes: u64,
}

impl HeadRoom {
    /// Creates the memory of a duty, all of it free.
    pub(crate) fn open(plan: MemoryPlan) -> Rc<Self> {
        Rc::new(Self { limit: plan.long_heads(), held: Cell::new(0) })
    }

    /// Takes the memory of a head; `None` if others have too much. A single head gets it always.
    pub(crate) fn take(self: &Rc<Self>, cost: u64) -> Option<HeadPermit> {
        let bytes = if cost <= SHORT_HEAD_BYTES { 0 } else { cost };
        let held = self.held.get();
        if bytes > 0 && held > 0 && held + bytes > self.limit {
            return None;
        }
        self.held.set(held + bytes);
        Some(HeadPermit { room: Rc::clone(self), bytes })
    }

    /// Returns limit and current use.
    pub(crate) fn memory_use(&self) -> MemoryUse {
        MemoryUse { limit_bytes: self.limit, held_bytes: self.held.get(), waiting: 0 }
    }
}

impl Drop for HeadPermit {
    fn drop(&mut self) {
        self.room.held.set(self.room.held.get() - self.bytes);
    }
}

/// Returns the memory that the head of a request takes at an entry, in bytes.
pub(crate) fn request_cost<B>(request: &Request<B>) -> u64 {
    let uri = request.uri();
    let path = uri.path().len() + uri.query().map_or(0, str::len);
    let headers = request.headers();
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    cost(headers.len(), path + fields.sum::<usize>())
}

/// Returns the memory that the head of a call takes at a guard, in bytes.
pub(crate) fn call_cost(head: &CallHead) -> u64 {
    let fields = head.headers.iter().map(|(name, value)| name.len() + value.len());
    cost(head.headers.len(), head.path.len() + fields.sum::<usize>())
}

const fn cost(fields: usize, bytes: usize) -> u64 {
    fields as u64 * FIELD_BYTES + bytes as u64 * COPIES
}
