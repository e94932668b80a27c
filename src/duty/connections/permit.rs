//! One connection's part in its listener's share.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::sync::Notify;

use super::ConnectionRoom;
use crate::base::connection_plan::{
    ConnectionCost, LONG_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES, max_unread,
};
use crate::decide::connection_account::{ConnectionNumber, ConnectionState};

/// Number of fields that the HTTP library reads without memory for each; more than other clients
/// send.
const USUAL_FIELDS: usize = 96;

/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Length of a head from which on it counts as long, in bytes.
const LONG_HEAD_BYTES: usize = 4 << 10;

/// What one connection may hold, which is returned when this is dropped.
pub(crate) struct ConnectionPermit {
    room: Rc<ConnectionRoom>,
    number: ConnectionNumber,
    cost: ConnectionCost,
    evicted: Rc<Notify>,
    state: Cell<ConnectionState>,
    /// Whether the connection counts with all that it may hold.
    is_active: Cell<bool>,
    /// What the connection may hold beyond its usual cost, in bytes.
    extra: Cell<u64>,
    /// Number of bytes that have arrived since the present request began.
    read_bytes: Cell<usize>,
    /// Whether there is no answer yet to the present request.
    is_served: Cell<bool>,
    /// Whether the whole answer to the present request was handed to the connection.
    is_answered: Cell<bool>,
    /// Whether the connection has waited for bytes since the present request began.
    has_waited: Cell<bool>,
    /// Whether a request has arrived whose answer is not yet sent.
    has_request: Cell<bool>,
    /// Number of lines that have arrived since the present request began.
    read_lines: Cell<usize>,
    /// Notified when a head has more fields than are usual.
    many_fields: Notify,
    /// Whether the receive buffer is to be enlarged for a long body.
    wants_long_buffer: Cell<bool>,
}

impl ConnectionPermit {
    pub(super) fn open(
        room: &Rc<ConnectionRoom>,
        number: ConnectionNumber,
        cost: ConnectionCost,
        evicted: Rc<Notify>,
    ) -> Self {
        Self {
            room: Rc::clone(room),
            number,
            cost,
            evicted,
            state: Cell::new(ConnectionState::Waiting),
            is_active: Cell::new(false),
            extra: Cell::new(0),
            read_bytes: Cell::new(0),
            is_served: Cell::new(false),
            is_answered: Cell::new(false),
            has_waited: Cell::new(true),
            has_request: Cell::new(false),
            read_lines: Cell::new(0),
            many_fields: Notify::new(),
            wants_long_buffer: Cell::new(false),
        }
    }

    /// Returns the room of the connection's listener.
    pub(crate) fn room(&self) -> &Rc<ConnectionRoom> {
        &self.room
    }

    /// Waits until a head has more fields than [`USUAL_FIELDS`], of which the HTTP library has not
    /// been given all.
    pub(crate) async fn wait_many_fields(&self) {
        self.many_fields.notified().await;
    }

    /// Counts the lines of a head; returns whether it has more fields than are usual. Lines that
    /// arrive while a request is being served don't count, since they may belong to its body.
    pub(super) fn count_lines(&self, bytes: &[u8]) -> bool {
        if self.has_request.get() {
            return false;
        }
        let head_end = bytes.windows(HEAD_END.len()).position(|part| part == HEAD_END);
        let head = &bytes[..head_end.unwrap_or(bytes.len())];
        let lines = head.split(|byte| *byte == b'\n').count() - 1;
        self.read_lines.set(self.read_lines.get() + lines);
        let has_many = self.read_lines.get() > USUAL_FIELDS;
        if has_many {
            self.many_fields.notify_one();
        }
        has_many
    }

    /// Waits until the connection is to be closed for others.
    pub(crate) async fn wait_evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that the head of a request arrived; returns whether it was sent ahead, before the
    /// answer to the one before it.
    pub(crate) fn note_head(&self) -> bool {
        self.read_bytes.set(0);
        self.read_lines.set(0);
        self.has_request.set(true);
        self.is_answered.set(false);
        !self.has_waited.replace(false)
    }

    /// Begins to serve a request, in turn if it was sent ahead.
    pub(crate) async fn begin_request(&self, has_body: bool, was_sent_ahead: bool) {
        if was_sent_ahead {
            // Until then nothing of ours depends on the connection.
            self.set_state(ConnectionState::Waiting);
            self.room.wait_turn().await;
        }
        self.is_served.set(true);
        let state = if has_body { ConnectionState::Receiving } else { ConnectionState::Serving };
        self.set_state(state);
    }

    /// Records that the present request was received as a whole.
    pub(crate) fn note_received(&self) {
        self.set_state(ConnectionState::Serving);
    }

    /// Enlarges the receive buffer for a long body if there is memory for that.
    pub(crate) fn expect_long_body(&self) {
        if self.extra.get() > 0 {
            return;
        }
        let extra = max_unread(LONG_RECEIVE_BUFFER_BYTES) - max_unread(RECEIVE_BUFFER_BYTES);
        if self.room.account.borrow_mut().grow_if_free(self.number, extra) {
            self.extra.set(extra);
            self.wants_long_buffer.set(true);
        }
    }

    /// Records that there is an answer to the present request.
    pub(super) fn note_answer(&self) {
        self.is_served.set(false);
    }

    /// Records that the whole answer was handed to the connection.
    pub(super) fn note_answered(&self) {
        self.is_answered.set(true);
        self.set_state(ConnectionState::Answering);
    }

    /// Records that nothing is left to be sent.
    pub(super) fn note_flushed(&self) {
        if self.state.get() != ConnectionState::Answering {
            return;
        }
        self.set_state(ConnectionState::Waiting);
        self.has_request.set(false);
        if self.read_bytes.get() == 0 {
            self.is_active.set(false);
            self.resize(self.cost.idle);
            self.room.returned.notify_waiters();
        }
    }

    /// Returns whether the head of the next request is long, so that more of it is read only in
    /// turn: to parse it may take as long as to serve many others.
    pub(super) fn has_long_head(&self) -> bool {
        self.state.get() == ConnectionState::Waiting && self.read_bytes.get() >= LONG_HEAD_BYTES
    }

    /// Records that bytes arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for more of them.
    pub(super) fn note_read(&self, bytes: usize) -> io::Result<()> {
        self.read_bytes.set(self.read_bytes.get() + bytes);
        if !self.is_active.replace(true) && !self.resize(self.cost.active) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        if matches!(self.state.get(), ConnectionState::Waiting | ConnectionState::Receiving) {
            self.note_progress();
        }
        Ok(())
    }

    /// Records that the connection waits for bytes.
    pub(super) fn note_waiting(&self) {
        self.has_waited.set(true);
    }

    /// Records that the peer takes no more bytes for now.
    pub(super) fn note_blocked(&self) {
        if !self.is_served.get() {
            self.set_state(ConnectionState::Answering);
        }
    }

    /// Records that the peer took bytes.
    pub(super) fn note_written(&self) {
        if self.state.get() != ConnectionState::Answering {
            return;
        }
        if self.is_answered.get() {
            self.note_progress();
        } else {
            // The rest of the answer may still have to come from its target.
            self.set_state(ConnectionState::Serving);
        }
    }

    /// Records that the sending side was shut down.
    pub(super) fn note_closing(&self) {
        self.set_state(ConnectionState::Closing);
    }

    /// Counts bytes that were read after the last answer; returns whether more may be read now.
    pub(super) fn may_linger(&self, bytes: usize) -> bool {
        self.room.may_linger(bytes)
    }

    /// Returns the size to which the receive buffer is to be enlarged now, if it is.
    pub(super) fn take_buffer_request(&self) -> Option<usize> {
        self.wants_long_buffer.take().then_some(LONG_RECEIVE_BUFFER_BYTES)
    }

    fn set_state(&self, state: ConnectionState) {
        if self.state.replace(state) != state {
            let now = self.room.clock.now();
            self.room.account.borrow_mut().set_state(now, self.number, state);
        }
    }

    fn note_progress(&self) {
        self.room.account.borrow_mut().note_progress(self.room.clock.now(), self.number);
    }

    fn resize(&self, cost: u64) -> bool {
        let mut evicted = Vec::new();
        let cost = cost + self.extra.get();
        let now = self.room.clock.now();
        let resized = self.room.account.borrow_mut().resize(now, self.number, cost, &mut evicted);
        self.room.evict(&evicted);
        resized
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.room.account.borrow_mut().remove(self.number);
        self.room.evictions.borrow_mut().remove(&self.number);
        self.room.update_gauge();
        self.room.returned.notify_waiters();
    }
}
