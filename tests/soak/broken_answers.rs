//! Targets that send something other than an answer, in place of other disruptions.

use railspan_standins::{HostedBehaviour, RawEnd};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::plan::{Disruption, PlannedDisruption};

/// First seed whose targets send broken answers.
pub const FIRST_SEED: u64 = 7_000;

/// First line, fields around those that all answers have, and bytes after the head. Each would pass
/// for a whole answer with some readers.
const ANSWERS: [(&str, &str, &str); 14] = [
    (
        "HTTP/1.1 200 OK",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "4\r\nbody\r\n0\r\n\r\n",
    ),
    ("HTTP/1.1 200 OK", "Transfer-Encoding: chunkee\r\n", "4\r\nbody\r\n0\r\n\r\n"),
    ("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
    ("HTTP/1.1 200 OK", "Transfer-Encoding:\r\n", "4\r\nbody\r\n0\r\n\r\n"),
    ("HTTP/1.1 200 OK", "X-More: a\n\nContent-Length: 4\r\n", "body"),
    ("HTTP/1.1 200 OK", "X-More: a\n\r\nContent-Length: 4\r\n", "body"),
    ("HTTP/1.1 200 OK", "X-More: a\nContent-Length: 4\r\n", "body"),
    ("HTTP/1.1 200 OK", "X More: a\r\nContent-Length: 4\r\n", "body"),
    ("HTTP/1.1 200 OK", "Content-Length: 4x\r\n", "body"),
    ("HTTP/1.1 200 OK", "Connection: x-server-signature\r\nContent-Length: 4\r\n", "body"),
    ("HTTP/1.1 000 Zero", "Content-Length: 4\r\n", "body"),
    ("HTTP/1.1 600 High", "Content-Length: 4\r\n", "body"),
    ("HTTP/1.1 503 Service Unavailable", "Content-Length: 4\r\n", "body"),
    ("HTTP/1.1 204 No Content", "Content-Length: 4\r\n", "body"),
];

/// Replaces all other misbehaviour of targets, and slow targets and links, by broken answers.
pub fn replace(seed: u64, disruptions: &mut [PlannedDisruption]) {
    if seed < FIRST_SEED {
        return;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for planned in disruptions {
        if let Disruption::TargetMisbehaves(_) | Disruption::SlowTarget | Disruption::Delay(..) =
            planned.disruption
        {
            planned.disruption = Disruption::TargetMisbehaves(draw(&mut rng));
        }
    }
}

fn draw(rng: &mut Pcg64Mcg) -> HostedBehaviour {
    let (first_line, lines, body) = ANSWERS.choose(rng).expect("not empty");
    let start = format!(
        "{first_line}\r\nX-Request-Id: {{id}}\r\nX-Server-Signature: 3e1b.07\r\n{lines}\r\n{body}"
    );
    let then = if rng.random() { RawEnd::Close } else { RawEnd::Hold };
    HostedBehaviour::RawBytes { start, then }
}
