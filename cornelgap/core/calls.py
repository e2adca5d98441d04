"""What the flow engine asks of its surroundings, and what it hears back.

The engine (:mod:`cornelgap.entry.engine`) has no socket, clock or thread.
It returns effects; actors carry them out and report what happened as
events.  Tests carry the same effects out with small fakes.
"""

from dataclasses import dataclass

from cornelgap.core.verdicts import Ran
from cornelgap.decisions.ends import CallEnd


@dataclass(slots=True)
class SendCaller:
    """Send a datagram to a caller's address ``(host, port)``."""

    address: tuple
    datagram: bytes


@dataclass(slots=True)
class SendPeer:
    """Send a sealed datagram to the entry instance of this name."""

    peer: str
    datagram: bytes


@dataclass(slots=True)
class StartRun:
    """Run a request at a target and stream its answer back.

    :param call_id: chosen by the engine, unique in its process.
    :param deadline: on the engine's clock, in seconds; checked again right
        before the request leaves this process.
    :param pieces: how many pieces may be read before more is granted.
    """

    call_id: int
    service: str
    target: str
    address: str
    incarnation: int
    flow_id: bytes
    epoch: int
    number: int
    idempotent: bool
    deadline: float
    payload: bytes
    pieces: int


@dataclass(slots=True)
class StartFollow:
    """Follow a feed at a target from a position on."""

    call_id: int
    service: str
    target: str
    address: str
    incarnation: int
    flow_id: bytes
    position: int
    payload: bytes
    pieces: int


@dataclass(slots=True)
class GrantPieces:
    """Allow a call to read some more pieces from its target."""

    call_id: int
    pieces: int


@dataclass(slots=True)
class StopCall:
    """Cancel a call; its end is still reported."""

    call_id: int


@dataclass(slots=True)
class PieceArrived:
    """A target sent a piece.

    :param position: byte offset of an answer, event number of a feed.
    :param identity: ``(service, target)`` that the target states, checked
        by the link before it passes the piece on.
    :param load: :class:`TargetLoad` or None when none came with it.
    """

    call_id: int
    position: int
    payload: bytes
    last: bool = False
    incarnation: int = 0
    load: object = None


@dataclass(slots=True)
class TargetLoad:
    """Load that a target states about itself."""

    in_flight: int
    waiting: int
    slots: int
    draining: bool


@dataclass(slots=True)
class CallEnded:
    """A call is over.

    :param ended: how, for placement and admission.
    :param ran: ``NOT_RUN`` only if the request never left this process or
        the target refused it under its contract; ``DONE`` after the last
        piece; otherwise ``MAY_HAVE_RUN``.
    :param code: error code if not done.
    :param retry_after_ms: what the target asked for, 0 if nothing.
    """

    call_id: int
    ended: CallEnd
    ran: Ran
    code: str = ''
    retry_after_ms: int = 0
