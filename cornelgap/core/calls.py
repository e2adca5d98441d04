"""Effects that the flow engine returns and events that it takes in.

The engine (:mod:`cornelgap.entry.engine`) has no socket, clock or thread.
It returns effects such as :class:`StartRun`; actors execute them and report
the results as events such as :class:`CallEnded`.  Tests execute the same
effects with small fakes.
"""

from dataclasses import dataclass

from cornelgap.core.verdicts import RunState
from cornelgap.decisions.ends import CallEnd


@dataclass(slots=True)
class SendCaller:
    """Effect: send a datagram to a caller's address ``(host, port)``."""

    address: tuple
    datagram: bytes


@dataclass(slots=True)
class SendPeer:
    """Effect: send a signed datagram to the entry instance of this name."""

    peer: str
    datagram: bytes


@dataclass(slots=True)
class StartRun:
    """Effect: run a request at a target and stream its answer back.

    :param call_id: chosen by the engine, unique in its process.
    :param incarnation: process of the target that is meant, 0 if it is not
        known yet.
    :param epoch: request id space that ``number`` belongs to.
    :param deadline: on the engine's clock, in seconds; checked again right
        before the request leaves this process.
    :param pieces: number of pieces that may be read before the next
        :class:`GrantPieces`.
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
    """Effect: follow a feed at a target, starting at a position.

    :param payload: topic of the feed, opaque to this process.
    :param pieces: see :class:`StartRun`.
    """

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
    """Effect: allow a call to read this many more pieces from its target."""

    call_id: int
    pieces: int


@dataclass(slots=True)
class StopCall:
    """Effect: cancel a call; a :class:`CallEnded` still follows."""

    call_id: int


@dataclass(slots=True)
class PieceArrived:
    """Event: a target sent a piece of an answer or one event of a feed.

    The link has already checked the service and target name that the target
    states in its first piece.

    :param position: byte offset in an answer, event number in a feed.
    :param last: whether the answer is complete with this piece.
    :param incarnation: the target's process, 0 if the piece does not state
        it.
    :param load: :class:`TargetLoad`, or None if the piece carries none.
    """

    call_id: int
    position: int
    payload: bytes
    last: bool = False
    incarnation: int = 0
    load: object = None


@dataclass(slots=True)
class TargetLoad:
    """Load that a target reports about itself."""

    in_flight: int
    waiting: int
    slots: int
    draining: bool


@dataclass(slots=True)
class CallEnded:
    """Event: a call has ended.

    :param ended: outcome that placement and admission take into account.
    :param ran: ``NOT_RUN`` only if the request never left this process or
        the target refused it as its contract allows; ``DONE`` after the
        last piece; otherwise ``MAY_HAVE_RUN``.
    :param code: error code, empty if ``ran`` is ``DONE``.
    :param retry_after_ms: delay that the target asked for, 0 if none.
    """

    call_id: int
    ended: CallEnd
    ran: RunState
    code: str = ''
    retry_after_ms: int = 0
