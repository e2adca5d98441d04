"""Typed messages between callers and entry instances.

:mod:`cornelgap.wire.caller_codec` encodes and decodes them.  Payloads are
opaque.

A request id is the triple (flow, epoch, number).  The epoch identifies an id
space, which exactly one entry instance owns at a time; that instance is the
home of the flow.  So two entry instances never run the same number.

A token proves that an entry instance opened the flow and names its home, see
:mod:`cornelgap.core.token`.  Messages to callers carry a token if the caller
should use a new one from now on.
"""

from dataclasses import dataclass, field

from cornelgap.core.verdicts import Verdict

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400
"""Largest datagram in bytes; it fits into an Ethernet frame with its headers
and leaves room to spare."""

CHUNK_BYTES = 1100
"""Largest payload of one chunk or event in bytes."""

MIN_OPEN_BYTES = 360
"""Smallest OPEN in bytes.  An OPENED is never larger, so an attacker who
forges the sender address cannot amplify traffic."""

FLOW_BYTES = 16
"""Length of a flow id."""


@dataclass(slots=True)
class Open:
    """Ask for a new flow; the entry instance stores no state for it yet.

    :param nonce: chosen by the caller, repeated in the answer.
    :param size: size of the encoded datagram in bytes.
    """

    service: str
    nonce: int
    size: int = MIN_OPEN_BYTES


@dataclass(slots=True)
class Request:
    """Run a request at most once, or at least once if it is idempotent.

    :param number: request number in the id space, from 1.
    :param deadline_ms: time left when the datagram was sent.
    :param long_job: whether it takes long, such as a download; short
        requests overtake it in the queue.
    :param credit: number of chunks that the caller can buffer.
    """

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
    """Follow a feed, starting at a position.

    :param payload: topic of the feed.
    :param credit: number of events that the caller can buffer.
    """

    service: str
    token: bytes
    number: int
    position: int = 0
    payload: bytes = b''
    credit: int = 32


@dataclass(slots=True)
class Ack:
    """Acknowledge chunks of an answer or events of a feed.

    :param position: all positions before this one were received.
    :param missing: positions from ``position`` on that were not received.
    :param credit: number of positions from ``position`` on that the caller
        can buffer.
    """

    service: str
    token: bytes
    number: int
    position: int
    missing: list = field(default_factory=list)
    credit: int = 32


@dataclass(slots=True)
class Cancel:
    """Cancel a request or end a feed."""

    service: str
    token: bytes
    number: int


@dataclass(slots=True)
class OutcomeQuery:
    """Ask for the outcome of a request id."""

    service: str
    token: bytes
    number: int


@dataclass(slots=True)
class Close:
    """Close the flow."""

    service: str
    token: bytes


@dataclass(slots=True)
class Opened:
    """Answer to :class:`Open`: the new flow with its token.

    :param nonce: the one of the :class:`Open`.
    """

    service: str
    nonce: int
    token: bytes
    flow: bytes
    epoch: int


@dataclass(slots=True)
class Chunk:
    """One part of an answer.

    The answer is complete when all positions up to the chunk with ``last``
    were received.
    """

    flow: bytes
    epoch: int
    number: int
    position: int
    payload: bytes
    last: bool = False
    token: bytes = b''


@dataclass(slots=True)
class Event:
    """One event of a feed, with its position in the feed."""

    flow: bytes
    epoch: int
    number: int
    position: int
    payload: bytes
    token: bytes = b''


@dataclass(slots=True)
class VerdictReport:
    """The final verdict on a request id."""

    flow: bytes
    epoch: int
    number: int
    verdict: Verdict
    token: bytes = b''


@dataclass(slots=True)
class Progress:
    """The request is known and has not ended; ask again later.

    For a feed: it is active and has no new event before ``position``.
    """

    flow: bytes
    epoch: int
    number: int
    position: int = 0
    retry_after_ms: int = 0
    token: bytes = b''


@dataclass(slots=True)
class Moved:
    """The flow continues under another token.

    If ``epoch`` equals ``old_epoch``, all request ids stay valid.  Otherwise
    the old id space was lost with the entry instance that owned it: requests
    that are not idempotent and have no verdict yet may have run, and feeds
    resume at the caller's position.
    """

    service: str
    flow: bytes
    old_epoch: int
    epoch: int
    token: bytes


@dataclass(slots=True)
class Refused:
    """A datagram was refused; this changes the state of no request.

    For a request the verdict is ``UNKNOWN`` with ``same_id``: an entry
    instance that refuses a datagram may not own the request id, so the
    caller may only send the request again under the same id.

    :param nonce: the one of a refused :class:`Open`, otherwise 0.
    :param flow: flow id in the token of the datagram, empty if none.
    :param number: request number of the datagram, 0 if none.
    """

    service: str
    nonce: int
    flow: bytes
    number: int
    verdict: Verdict
