"""What callers sent and received and what targets ran, in order.

The checkers read nothing else: no engine's inside can make them pass.
"""

from dataclasses import dataclass, field

from cornelgap.core.verdicts import RunState


@dataclass(frozen=True, slots=True)
class ReqId:
    """The id of a request: flow, id space and number."""

    flow: bytes
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Sent:
    """A caller sent a request for the first time under this id.

    :param hold: the caller's own name of the work (a hold, a refinement),
        the same for each id under which it is tried.
    """

    caller: str
    service: str
    req: ReqId
    hold: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Judged:
    """A caller received a final verdict."""

    caller: str
    req: ReqId
    ran: RunState


@dataclass(frozen=True, slots=True)
class Answered:
    """A caller's request was completed with this answer."""

    caller: str
    req: ReqId
    payload: bytes


@dataclass(frozen=True, slots=True)
class Executed:
    """A target began to run a request.

    :param service: the service that the target belongs to.
    :param wanted: the service that the request names.
    :param at: time in seconds.
    """

    service: str
    wanted: str
    target: str
    req: ReqId
    payload: bytes
    at: float = 0


@dataclass(frozen=True, slots=True)
class Followed:
    """A target began to bring a feed."""

    target: str
    at: float


@dataclass(frozen=True, slots=True)
class Left:
    """An operator or the platform said that a target is leaving."""

    target: str
    at: float


@dataclass(frozen=True, slots=True)
class Heard:
    """A caller was given one event of a feed, in the order of giving."""

    caller: str
    feed: str
    position: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Adopted:
    """An entry instance stated the revision that it has in force.

    :param boot: its incarnation; a restart begins anew.
    """

    instance: str
    boot: int
    revision: int


@dataclass(slots=True)
class Tape:
    """Everything observed in one run, in its order."""

    items: list = field(default_factory=list)

    def note(self, item):
        """Append one observation."""
        self.items.append(item)

    def pick(self, kind):
        """List the observations of one kind."""
        return [item for item in self.items if isinstance(item, kind)]
