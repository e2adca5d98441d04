"""The openings of the last second, and whether a target was in reach.

An opening is unserved if targets for it take new flows, but all of them lie
in zones that are away.  Openings that other reasons hold up (old news, no
route, cold targets, overload) are neither placed nor unserved: instances of
other zones would do no better.
"""

from collections import Counter, deque

from cornelgap.decisions.withdrawal import (
    OPENING_WINDOW_S,
    OPENINGS_PER_REQUEST,
    OpeningReport,
)


class Openings:
    """Counts openings; asks a judge which zones are away.

    :param zone: this instance's availability zone.
    :param judge: :class:`~cornelgap.forwarding.target_judge.TargetJudge`.
    """

    def __init__(self, zone, judge):
        """Have seen nothing; drop nothing."""
        self._zone = zone
        self._judge = judge
        self._seen = deque()
        self._drops_until = float('-inf')
        self._view = None
        self._zones = {}

    def note_placed(self, view, route, target, now):
        """Note that an opening was sent to a target."""
        away = self._judge.is_away(target.zone)
        beyond = self.find_beyond(view, route) if away else ()
        self._seen.append((now, beyond, route))

    def note_refused(self, view, route, now):
        """Note that there was no target for an opening.

        :returns: whether it is to be dropped: its caller's copies reach an
            instance of another zone, a reset would use up its tries.
        """
        beyond = self.find_beyond(view, route)
        if not beyond:
            return False
        self._seen.append((now, beyond, route))
        return now < self._drops_until

    def find_beyond(self, view, route):
        """Return the other zones that could serve, if none is in reach.

        :returns: frozenset; empty if a target is in reach, or no other zone
            has one.
        """
        zones = self._list_zones(view, route)
        if not all(map(self._judge.is_away, zones)):
            return frozenset()
        return zones - {self._zone}

    def drop_until(self, until):
        """Note until when openings are dropped that cannot be served."""
        self._drops_until = until

    def make_opening_report(self, view, loads, now):
        """Return the :class:`OpeningReport` of the last second.

        :param loads: :class:`~cornelgap.forwarding.flows.Load` by cookie.
        :returns: None while all zones are in reach.
        """
        while self._seen and now - self._seen[0][0] > OPENING_WINDOW_S:
            self._seen.popleft()
        away = self._judge.list_away()
        if not away:
            return None
        counts = Counter(bool(beyond) for _, beyond, _ in self._seen)
        served = OPENINGS_PER_REQUEST * sum(
            not beyond and self._list_zones(view, route) == {self._zone}
            for _, beyond, route in self._seen
        )
        served += sum(
            load.flows
            for cookie, load in loads.items()
            if now - load.answered_at < OPENING_WINDOW_S
            and not _is_in_zones(view.find(cookie), away)
        )
        zones = frozenset().union(*(beyond for _, beyond, _ in self._seen))
        return OpeningReport(counts[False], counts[True], served, zones)

    def _list_zones(self, view, route):
        """Return the zones of all targets that take flows of a route."""
        if view is not self._view:
            self._view = view
            self._zones = {}
        zones = self._zones.get(route)
        if zones is None:
            zones = self._zones[route] = frozenset(
                target.zone
                for service, _ in route.shares
                for target in view.by_service.get(service, ())
            )
        return zones


def _is_in_zones(target, zones):
    return target is not None and target.zone in zones
