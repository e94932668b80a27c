//! Memory of a process as the users' platform counts it: what is resident, and the bytes that its
//! sockets have received and that it has not read.

use std::collections::HashSet;
use std::io;

/// State of a listening socket in the system's tables, whose queue counts connections.
const LISTENING: &str = "0A";

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Resident memory.
    pub resident: u64,
    /// Bytes that its sockets have received and that it has not read, with those of connections
    /// that it has not accepted.
    pub unread: u64,
}

impl ProcessMemory {
    /// Reads the memory of a process; `ports` are those at which it listens.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn read(id: u32, ports: &[u16]) -> io::Result<Self> {
        let sockets = open_sockets(id)?;
        let mut unread = 0;
        for table in ["tcp", "udp"] {
            let text = std::fs::read_to_string(format!("/proc/{id}/net/{table}"))?;
            let rows = text.lines().skip(1).filter_map(SocketRow::parse);
            let own = rows.filter(|row| {
                !row.listening && (sockets.contains(&row.inode) || ports.contains(&row.port))
            });
            unread += own.map(|row| row.unread).sum::<u64>();
        }
        Ok(Self { resident: resident_bytes(id)?, unread })
    }

    /// Returns all of it.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.resident + self.unread
    }
}

struct SocketRow {
    port: u16,
    listening: bool,
    unread: u64,
    inode: u64,
}

impl SocketRow {
    fn parse(line: &str) -> Option<Self> {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = columns.get(1)?.split_once(':')?;
        let (_, unread) = columns.get(4)?.split_once(':')?;
        Some(Self {
            port: u16::from_str_radix(port, 16).ok()?,
            listening: *columns.get(3)? == LISTENING,
            unread: u64::from_str_radix(unread, 16).ok()?,
            inode: columns.get(9)?.parse().ok()?,
        })
    }
}

/// Returns the memory that a process has resident, in bytes.
fn resident_bytes(id: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb: Option<u64> = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
    kb.map(|kb| kb << 10).ok_or_else(|| io::Error::other("the process has no memory"))
}

/// Returns the inodes of a process's sockets.
fn open_sockets(id: u32) -> io::Result<HashSet<u64>> {
    let entries = std::fs::read_dir(format!("/proc/{id}/fd"))?;
    // A descriptor may be closed between the two steps.
    let links = entries.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let inode = |link: std::path::PathBuf| {
        link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    Ok(links.filter_map(inode).collect())
}
