"""What an instance knows of routes and targets, as packets are handled by it.

A reader gets an immutable :class:`View`, so a packet never sees half of a
change.
"""

from msgspec import Struct, field


class RequestPolicy(Struct, frozen=True):
    """What the configuration says of the requests on a route.

    :param priority: 0 is the highest; None if the route names none.
    :param latency_goal_s: seconds in which callers want an answer; 0 if the
        route names no goal.
    :param timeout_s: seconds after which callers give a request up; 0 if
        the route does not tell.
    :param repeatable: whether a request may run twice.
    """

    priority: int | None = None
    latency_goal_s: float = 0
    timeout_s: float = 0
    repeatable: bool = False


class Route(Struct, frozen=True):
    """Where new flows to one address and port may go.

    :param shares: tuples (service, weight); weights are positive.
    :param policy: :class:`RequestPolicy` of the requests inside.
    """

    name: str
    address: int
    port: int
    shares: tuple
    policy: RequestPolicy = RequestPolicy()


class Target(Struct, frozen=True):
    """One lifetime of a target.

    :param identity: number by which the target recognises itself.
    :param cookie: 32 bits by which packets name it.
    :param address: tuple (host, port).
    :param slots: requests that it serves at once.
    :param cold_until: time until which it is slow, process clock seconds.
    :param born: when it was started, by a clock of its own; 0 if it does
        not tell.  A target may start again under its name: then it holds
        nothing of before, and this number is another one.
    """

    name: str
    identity: int
    cookie: int
    service: str
    address: tuple
    zone: str
    slots: int
    draining: bool
    cold_until: float
    born: int = 0


class Warmup(Struct, frozen=True):
    """How the targets of a service warm up after a start.

    :param seconds: how long a target is cold.
    :param per_s: new flows a second that a cold target bears.
    """

    seconds: float = 0
    per_s: float = 0


class Unreadable:
    """Stands for the target of an entry that names none."""


UNREADABLE = Unreadable()


class View(Struct, frozen=True):
    """A consistent picture of the directory.

    :param routes: route by (address, port).
    :param routes_known: whether the configuration has been learnt; without
        it, nothing can be said of a new flow.
    :param dropped: places (address, port) of routes that were in force
        earlier in this process and are not now.
    :param by_cookie: target by cookie; None where two targets share it.
    :param gone: targets without registration by cookie; None where another
        target has taken the address.
    :param by_service: targets for new flows, by service.
    :param fallback: targets whose registration may come back, by service.
    :param drained_zones: zones whose targets get no new flow, by order of an
        operator.
    :param drained_services: services that have targets in these zones.
    :param warmups: :class:`Warmup` by service.
    :param returned: time by zone until which all its targets count as cold,
        since an order has been taken back.
    """

    routes: dict = field(default_factory=dict)
    routes_known: bool = True
    dropped: frozenset = frozenset()
    by_cookie: dict = field(default_factory=dict)
    gone: dict = field(default_factory=dict)
    by_service: dict = field(default_factory=dict)
    fallback: dict = field(default_factory=dict)
    drained_zones: frozenset = frozenset()
    drained_services: frozenset = frozenset()
    warmups: dict = field(default_factory=dict)
    returned: dict = field(default_factory=dict)

    def find(self, cookie):
        """Return the target of a cookie, registered or not, or None."""
        return self.by_cookie.get(cookie) or self.gone.get(cookie)

    def takes_flows(self, target):
        """Say whether a target may get new flows."""
        return takes_flows(target) and is_zone_open(
            target.zone, self.drained_zones
        )

    def is_cold(self, target, now):
        """Say whether a target may be cold.

        Targets of a zone that was drained may have started anew meanwhile;
        their registrations tell of it a heartbeat later.
        """
        if now < target.cold_until:
            return True
        return now < self.returned.get(target.zone, now)


def make_cookie(identity):
    """Fold a target's number into the 32 bits that packets carry.

    Numbers of up to 32 bits stay distinct.  0 means "no target" on the
    wire and is never returned.
    """
    folded = (identity ^ (identity >> 32)) & 0xFFFFFFFF
    return folded or 0xFFFFFFFF


def takes_flows(target):
    """Say whether a target may get new flows; a draining one ends soon."""
    return not target.draining


def is_zone_open(zone, drained_zones):
    """Say whether targets of a zone may get new flows.

    An operator drains a zone before its machines are taken away; a flow that
    is opened there all the same ends with them.
    """
    return zone not in drained_zones


def add_cookie(by_cookie, target):
    """Add a target to a table by cookie; None marks a cookie of two."""
    known = by_cookie.get(target.cookie, target)
    if known is not None and known.identity != target.identity:
        # Two targets behind one cookie: whichever is taken, some packet
        # would reach a target that does not hold its flow.
        known = None
    by_cookie[target.cookie] = target if known is not None else None
