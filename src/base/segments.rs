//! Bodies in segments of one size, so that freed memory fits the next body.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// Maximum size of a segment, in bytes.
pub(crate) const SEGMENT_BYTES: usize = 64 << 10;

/// A body in segments; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodySegments {
    segments: Rc<[Bytes]>,
    length: usize,
}

impl BodySegments {
    /// Returns the length of the body, in bytes.
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns the segments in order; none of them is empty.
    pub(crate) fn segments(&self) -> &[Bytes] {
        &self.segments
    }
}

/// Collects a body. Memory is allocated only by [`SegmentWriter::add_segment`].
#[derive(Debug, Default)]
pub(crate) struct SegmentWriter {
    full: Vec<Bytes>,
    /// Segment that is being filled, and its size.
    open: BytesMut,
    open_size: usize,
    length: usize,
}

impl SegmentWriter {
    /// Returns how many bytes were written.
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the next byte needs another segment.
    pub(crate) fn is_full(&self) -> bool {
        self.open.len() == self.open_size
    }

    /// Adds a segment of `size` bytes; the one before it must be full.
    pub(crate) fn add_segment(&mut self, size: usize) {
        debug_assert!(self.is_full(), "the open segment has room left");
        let full = std::mem::replace(&mut self.open, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
        self.open_size = size;
    }

    /// Copies bytes into the open segment as far as they fit; returns how many did.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.open_size - self.open.len());
        self.open.extend_from_slice(&bytes[..count]);
        self.length += count;
        count
    }

    /// Returns the body.
    pub(crate) fn finish(mut self) -> BodySegments {
        if !self.open.is_empty() {
            self.full.push(self.open.freeze());
        }
        BodySegments { segments: self.full.into(), length: self.length }
    }
}
