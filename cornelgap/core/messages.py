"""Typed messages between callers and entry instances.

The bytes are made by :mod:`cornelgap.wire.caller_codec`.  Payloads are
opaque.  A request is known by (flow, epoch, number): the epoch names an id
space that exactly one entry instance owns at a time, so a number can never
be run by two of them.
"""

from dataclasses import dataclass, field

from cornelgap.core.verdicts import Verdict

PROTOCOL_VERSION = 1
MAX_DATAGRAM = 1400
"""Largest datagram in bytes; it fits an Ethernet frame with room to spare."""

CHUNK_BYTES = 1100
"""Largest payload of one chunk or event in bytes."""

MIN_OPEN = 360
"""Smallest OPEN in bytes: an OPENED is never larger, so that a forged
sender address gains an attacker nothing."""

FLOW_BYTES = 16
"""Length of a flow id."""


@dataclass(slots=True)
class Open:
    """Ask for a flow of a service; stores nothing at the entry instance."""

    service: str
    nonce: int
    size: int = MIN_OPEN


@dataclass(slots=True)
class Request:
    """Run a request once (or at least once if idempotent)."""

    service: str
    token: bytes
    number: int
    payload: bytes = b''
    idempotent: bool = False
    deadline_ms: int = 0
    long_job: bool = False
    credit: int = 32


@dataclass(slots=True)
class Subscribe:
    """Follow a feed from a position on; the payload is its topic."""

    service: str
    token: bytes
    number: int
    position: int = 0
    payload: bytes = b''
    credit: int = 32


@dataclass(slots=True)
class Ack:
    """Chunks before ``position`` have come; ``missing`` ones after have not."""

    service: str
    token: bytes
    number: int
    position: int
    missing: list = field(default_factory=list)
    credit: int = 32


@dataclass(slots=True)
class Cancel:
    """The caller no longer wants an answer or a feed."""

    service: str
    token: bytes
    number: int


@dataclass(slots=True)
class OutcomeQuery:
    """Ask what became of a request id."""

    service: str
    token: bytes
    number: int


@dataclass(slots=True)
class Close:
    """The caller has done with the flow."""

    service: str
    token: bytes


@dataclass(slots=True)
class Opened:
    """A flow with its token."""

    service: str
    nonce: int
    token: bytes
    flow: bytes
    epoch: int


@dataclass(slots=True)
class Chunk:
    """One piece of an answer; whole when all up to ``last`` are there."""

    flow: bytes
    epoch: int
    number: int
    position: int
    payload: bytes
    last: bool = False
    token: bytes = b''


@dataclass(slots=True)
class Event:
    """One piece of a feed, at its position in the feed."""

    flow: bytes
    epoch: int
    number: int
    position: int
    payload: bytes
    token: bytes = b''


@dataclass(slots=True)
class Report:
    """The final verdict about a request id."""

    flow: bytes
    epoch: int
    number: int
    verdict: Verdict
    token: bytes = b''


@dataclass(slots=True)
class Progress:
    """The request is known and not ended; ask again after a while.

    For a feed: it lives and has nothing new before ``position``.
    """

    flow: bytes
    epoch: int
    number: int
    position: int = 0
    retry_after_ms: int = 0
    token: bytes = b''


@dataclass(slots=True)
class Moved:
    """The flow goes on with another token.

    If ``epoch`` equals ``old_epoch`` all ids stay valid.  Otherwise the old
    id space has ended with its owner: requests that are not idempotent and
    have no verdict yet may have run, feeds resume at the caller's position.
    """

    service: str
    flow: bytes
    old_epoch: int
    epoch: int
    token: bytes


@dataclass(slots=True)
class Refused:
    """A datagram was refused; nothing about any request changes by it.

    The verdict is ``UNKNOWN`` with ``same_id`` for a request: whoever
    refuses here does not own its id, so only the same id is safe.
    """

    service: str
    nonce: int
    flow: bytes
    number: int
    verdict: Verdict
