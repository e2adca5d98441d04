"""What a caller's flow reports to its user, as typed events."""

from dataclasses import dataclass, field

from cornelgap.core.verdicts import Verdict


@dataclass(slots=True)
class FlowOpened:
    """The flow has its token."""

    flow: bytes
    epoch: int


@dataclass(slots=True)
class OpenFailed:
    """No entry instance opened the flow in time."""

    verdict: Verdict


@dataclass(slots=True)
class FlowMoved:
    """The flow's id space changed; ids of the old one are finished."""

    old_epoch: int
    epoch: int


@dataclass(slots=True)
class RequestEnded:
    """A request is over for this caller.

    :param handle: what ``start_request`` returned.
    :param request_id: last id, ``(flow, epoch, number)``; the number is 0
        if it was never sent.
    :param verdict: what may be concluded.
    :param answer: the whole answer, or None if it did not come whole.
    :param resends: datagrams that repeated the request.
    """

    handle: int
    request_id: tuple
    verdict: Verdict
    answer: bytes | None = None
    resends: int = 0


@dataclass(slots=True)
class FeedItem:
    """The next piece of a feed; positions come in order, each once."""

    handle: int
    position: int
    payload: bytes


@dataclass(slots=True)
class FeedResumed:
    """A feed was subscribed anew at its next position."""

    handle: int
    position: int
    code: str


@dataclass(slots=True)
class FeedEnded:
    """A feed is over though its caller did not cancel it."""

    handle: int
    position: int
    verdict: Verdict


@dataclass(slots=True)
class Output:
    """What one turn of a flow gives: datagrams to send, events to tell."""

    datagrams: list = field(default_factory=list)
    events: list = field(default_factory=list)
