"""An answer on its way to a caller: chunks, acknowledgements, backpressure.

Load pattern: few large answers (documents, briefing packs) among many
small ones, to callers whose links lose packets and differ in speed.
Repair is driven by the receiver: the caller names what it lacks, and the
sender keeps no retransmission timer of its own.  Chunks that are not
acknowledged stay in memory, so how much may be read ahead from the target
is bounded; without that bound one slow caller would fill the memory with
a document that it does not take.
"""

from dataclasses import dataclass, field

from cornelgap.core.messages import CHUNK_BYTES

BUFFER_CHUNKS = 128
"""Chunks kept ahead of the caller before the target must wait: about
140 KB, which covers 20 ms at 56 Mbit/s with room for repair."""

PIECES_AHEAD = 2
"""Pieces of the target that may be under way at once."""

RESEND_NAMED_S = 0.01
"""A chunk that the caller names as missing is not sent again within this
time: one round trip is about 8 ms for the farthest caller."""

RESEND_AFTER_S = 0.04
"""The same for a chunk that the caller has not named: it may be late."""

RESEND_BATCH = 16
"""Most chunks that one acknowledgement may bring back."""


@dataclass(slots=True)
class Outgoing:
    """Chunks of one answer that are not yet acknowledged.

    :param base: position of ``chunks[0]``, the first not acknowledged.
    :param cursor: next position that was never sent.
    :param tail: bytes that do not fill a chunk yet.
    :param ended: whether the target has sent its last piece.
    :param credit: chunks beyond ``base`` that the caller takes.
    :param ahead: pieces granted to the target and not yet arrived.
    """

    base: int = 0
    cursor: int = 0
    credit: int = 32
    ahead: int = PIECES_AHEAD
    ended: bool = False
    tail: bytes = b''
    chunks: list = field(default_factory=list)
    sent_at: list = field(default_factory=list)


def add_piece(out, payload, last):
    """Cut a target's piece into chunks."""
    out.ahead -= 1
    whole = out.tail + payload
    cut = 0
    while len(whole) - cut > CHUNK_BYTES:
        _add_chunk(out, whole[cut : cut + CHUNK_BYTES])
        cut += CHUNK_BYTES
    out.tail = whole[cut:]
    if last:
        _add_chunk(out, out.tail)
        out.tail = b''
        out.ended = True


def _add_chunk(out, payload):
    out.chunks.append(payload)
    out.sent_at.append(-1.0)


def count_positions(out):
    """Count all chunks cut so far, acknowledged ones included."""
    return out.base + len(out.chunks)


def is_acknowledged(out):
    """Say whether the caller has confirmed the whole answer."""
    return out.ended and not out.chunks


def take_ack(out, now, position, missing, credit):
    """Take an acknowledgement and pick the chunks to send again.

    :returns: positions, in order.
    """
    out.credit = max(credit, 1)
    done = min(position, out.cursor) - out.base
    if done > 0:
        del out.chunks[:done]
        del out.sent_at[:done]
        out.base += done
    wanted = missing or [out.base]
    least_s = RESEND_NAMED_S if missing else RESEND_AFTER_S
    return [
        at for at in wanted[:RESEND_BATCH] if _may_resend(out, now, at, least_s)
    ]


def _may_resend(out, now, position, least_s):
    if not out.base <= position < out.cursor:
        return False
    return now - out.sent_at[position - out.base] >= least_s


def take_unsent(out):
    """Advance the cursor as far as the caller's credit allows.

    :returns: the positions to send now.
    """
    end = min(count_positions(out), out.base + out.credit)
    fresh = range(out.cursor, max(end, out.cursor))
    out.cursor = max(end, out.cursor)
    return fresh


def read_chunk(out, now, position):
    """Give a chunk to be sent, and note the time.

    :returns: (payload, whether it is the last one).
    """
    at = position - out.base
    out.sent_at[at] = now
    last = out.ended and at == len(out.chunks) - 1
    return out.chunks[at], last


def count_grant(out):
    """Count the pieces that the target may send in addition, and note them."""
    if out.ended or len(out.chunks) >= BUFFER_CHUNKS:
        return 0
    grant = max(0, PIECES_AHEAD - out.ahead)
    out.ahead += grant
    return grant
