"""The immutable view of routes and targets by which packets are forwarded.

The directory makes a new :class:`View` for each change and never changes one
that it has handed out, so no packet is handled by half of a change.
"""

from msgspec import Struct, field


class RequestPolicy(Struct, frozen=True):
    """Policy of the requests on a route, from the configuration.

    :param priority: 0 is the highest; None if the route sets none.
    :param latency_goal_s: seconds within which callers want an answer; 0 if
        the route sets no goal.
    :param timeout_s: seconds after which callers give up on a request; 0 if
        the route sets no timeout.
    :param repeatable: whether a request may run twice.
    """

    priority: int | None = None
    latency_goal_s: float = 0
    timeout_s: float = 0
    repeatable: bool = False


class Route(Struct, frozen=True):
    """The services to which new flows to one address and port may go.

    :param weighted_services: tuples (service, weight); weights are positive.
    :param policy: :class:`RequestPolicy` of the requests on this route.
    """

    name: str
    address: int
    port: int
    weighted_services: tuple
    policy: RequestPolicy = RequestPolicy()


class Target(Struct, frozen=True):
    """One lifetime of a target, from its start to its end.

    :param identity: number of the target; each packet that is forwarded to it
        carries the number, so that the target can recognise its packets.
    :param cookie: 32 bits by which callers' packets name the target.
    :param address: tuple (host, port).
    :param slots: number of requests that it serves at once.
    :param cold_until: time until which it warms up and is slow, in seconds of
        the process clock.
    :param born: when it was started, by its own clock; 0 if it does not
        tell.  A target may restart under the same name: then it has lost its
        flows, and this number differs.
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

    :param seconds: duration of the warm-up, in which a target is cold.
    :param per_s: new flows per second that a cold target can take.
    """

    seconds: float = 0
    per_s: float = 0


class Unreadable:
    """Takes the place of a target whose registration cannot be read."""


UNREADABLE = Unreadable()


class View(Struct, frozen=True):
    """A consistent, immutable copy of the directory.

    :param routes: route by (address, port).
    :param routes_known: whether a configuration has been received; without
        one, it is unknown whether a new flow has a route.
    :param removed_routes: (address, port) of routes that were in force earlier
        in the lifetime of this process and are not now.
    :param by_cookie: target by cookie; None where two targets share a cookie.
    :param gone_by_cookie: targets without a registration; None where another
        target has taken over the address.
    :param by_service: targets for new flows, by service.
    :param fallback_by_service: targets whose registration may come back.
    :param drained_zones: zones whose targets get no new flows, by order of an
        operator.
    :param drained_services: services that have targets in these zones.
    :param warmups: :class:`Warmup` by service.
    :param cold_until_by_zone: time until which all targets of a zone count as
        cold, for zones whose drain order was cancelled.
    """

    routes: dict = field(default_factory=dict)
    routes_known: bool = True
    removed_routes: frozenset = frozenset()
    by_cookie: dict = field(default_factory=dict)
    gone_by_cookie: dict = field(default_factory=dict)
    by_service: dict = field(default_factory=dict)
    fallback_by_service: dict = field(default_factory=dict)
    drained_zones: frozenset = frozenset()
    drained_services: frozenset = frozenset()
    warmups: dict = field(default_factory=dict)
    cold_until_by_zone: dict = field(default_factory=dict)

    def has_cookie(self, cookie):
        """Tell whether a cookie is that of a target, registered or not."""
        return cookie in self.by_cookie or cookie in self.gone_by_cookie

    def find(self, cookie):
        """Return the target with a cookie, registered or not, or None."""
        return self.by_cookie.get(cookie) or self.gone_by_cookie.get(cookie)

    def accepts_new_flows(self, target):
        """Tell whether a target may get new flows."""
        return accepts_new_flows(target) and is_zone_open(
            target.zone, self.drained_zones
        )

    def is_cold(self, target, now):
        """Tell whether a target may be cold.

        Targets of a zone that was drained may have restarted in the meantime;
        their registrations show it only with the next heartbeat.
        """
        if now < target.cold_until:
            return True
        return now < self.cold_until_by_zone.get(target.zone, now)


def make_cookie(identity):
    """Fold a target's identity into the 32 bits that packets carry.

    Identities of up to 32 bits stay distinct.  0 means "no target" on the
    wire and is never returned.
    """
    folded = (identity ^ (identity >> 32)) & 0xFFFFFFFF
    return folded or 0xFFFFFFFF


def accepts_new_flows(target):
    """Tell whether a target may get new flows; a draining one ends soon."""
    return not target.draining


def is_zone_open(zone, drained_zones):
    """Tell whether targets of a zone may get new flows.

    An operator drains a zone before its machines are taken away; a flow that
    is opened there nevertheless breaks when they go.
    """
    return zone not in drained_zones


def index_by_cookie(by_cookie, target):
    """Add a target to an index by cookie; None marks a shared cookie."""
    known = by_cookie.get(target.cookie, target)
    if known is not None and known.identity != target.identity:
        # Two targets share the cookie: whichever is chosen, some packets
        # would reach a target that does not hold their flow.
        known = None
    by_cookie[target.cookie] = target if known is not None else None
