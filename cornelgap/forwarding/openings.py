"""The openings of the last second, and whether a target was reachable.

An opening is a SYN for a new flow.  It is unserved if there are targets that
accept it, but all of them are in zones that are away, that is, unreachable
from this instance.  Openings that fail for other reasons (outdated directory,
no route, cold targets, overload) count neither as placed nor as unserved:
instances of other zones could not serve them either.
"""

from collections import Counter, deque

from cornelgap.decisions.withdrawal import (
    OPENING_WINDOW_S,
    OPENINGS_PER_REQUEST,
    OpeningReport,
)


class OpeningTracker:
    """Records openings, and decides which ones to drop.

    :param zone: this instance's availability zone.
    :param failure_detector: a ``FailureDetector``, see
        :mod:`cornelgap.forwarding.failure_detector`; it knows the zones that
        are away.
    """

    def __init__(self, zone, failure_detector):
        """Start without openings, and drop none."""
        self._zone = zone
        self._failure_detector = failure_detector
        self._recent = deque()
        self._drops_until = float('-inf')
        self._zones_view = None
        self._zones_by_route = {}

    def note_placed(self, view, route, target, now):
        """Record that an opening was forwarded to a target."""
        away = self._failure_detector.is_away(target.zone)
        beyond = self.find_zones_beyond_cut(view, route) if away else ()
        self._recent.append((now, beyond, route))

    def note_refused(self, view, route, now):
        """Record that there was no target for an opening.

        :returns: whether to drop it instead of resetting it: the caller's
            next copies reach an instance of another zone, while resets
            would use up its attempts.
        """
        beyond = self.find_zones_beyond_cut(view, route)
        if not beyond:
            return False
        self._recent.append((now, beyond, route))
        return now < self._drops_until

    def find_zones_beyond_cut(self, view, route):
        """Return the other zones with targets, if no target is reachable.

        :returns: frozenset; empty if a target is reachable, or if no other
            zone has a target.
        """
        zones = self._list_zones(view, route)
        if not all(map(self._failure_detector.is_away, zones)):
            return frozenset()
        return zones - {self._zone}

    def drop_until(self, until):
        """Set the time until which unserved openings are dropped."""
        self._drops_until = until

    def make_opening_report(self, view, loads, now):
        """Return the :class:`OpeningReport` of the last second.

        :param loads: :class:`~cornelgap.forwarding.flows.Load` by cookie.
        :returns: None while all zones are reachable.
        """
        while self._recent and now - self._recent[0][0] > OPENING_WINDOW_S:
            self._recent.popleft()
        away = self._failure_detector.list_away()
        if not away:
            return None
        counts = Counter(bool(beyond) for _, beyond, _ in self._recent)
        served = OPENINGS_PER_REQUEST * sum(
            not beyond and self._list_zones(view, route) == {self._zone}
            for _, beyond, route in self._recent
        )
        served += sum(
            load.flows
            for cookie, load in loads.items()
            if now - load.answered_at < OPENING_WINDOW_S
            and not _is_in_zones(view.find(cookie), away)
        )
        zones = frozenset().union(*(beyond for _, beyond, _ in self._recent))
        return OpeningReport(counts[False], counts[True], served, zones)

    def _list_zones(self, view, route):
        """Return the zones with targets that accept flows of a route."""
        if view is not self._zones_view:
            self._zones_view = view
            self._zones_by_route = {}
        zones = self._zones_by_route.get(route)
        if zones is None:
            zones = self._zones_by_route[route] = frozenset(
                target.zone
                for service, _ in route.weighted_services
                for target in view.by_service.get(service, ())
            )
        return zones


def _is_in_zones(target, zones):
    return target is not None and target.zone in zones
