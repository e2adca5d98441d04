"""Limits the new flows that a cold target gets from all instances together.

Load pattern: a target that has just started is slow for seconds and can
serve few requests a second.  It is also idle, so every instance finds it the
least loaded one and sends its next flows there at the same moment.  When an
availability zone returns to rotation, or a whole service restarts, all
waiting callers open flows on cold targets at once.  Without a limit the
queues of these targets fill up, and the requests in them miss their
deadlines.

Instances cannot coordinate for each opening, since it has to be placed
immediately and any instance may be cut off.  Therefore each cold target has a
few owners: the instances of its own zone that rank highest for it by
rendezvous hashing.  Only owners open flows there, each within its share of
the budget.

Instances learn at different times that an instance has joined or left, and
meanwhile two sets of owners are active.  Only half of the budget is
distributed for this reason, and one change replaces at most one owner.  An
instance that is cut off still counts those that it knew, as they still count
it.
"""

from collections import deque

from msgspec import Struct

from cornelgap.decisions.fanout import rank_names

WINDOW_S = 1.0
"""Sliding window in which flows are counted."""

BUDGET_DIVISOR = 2
"""Divisor of the budget: half of it is distributed to the owners, since two
sets of owners may be active at a time."""

MAX_OWNERS = 8
"""Maximum number of owners of one target.  More owners cost more hashing for
each target, and few targets get more flows a second than this many instances
may open."""


class ColdLimit(Struct, frozen=True):
    """Limit on the flows that a cold target gets per second.

    It applies to all instances together.

    :param over: factor on the rate that is configured for the service.
    :param slack: flows per second on top of that.
    """

    over: float
    slack: float

    def compute_budget(self, per_s):
        """Return how many flows a cold target may get in any second.

        :param per_s: flows a second that a cold target can serve, as
            configured for its service.
        """
        return int(per_s * self.over + self.slack)


def choose_owners(key, names, budget):
    """Choose the owners of a cold target and the share of each.

    :param key: the target's cookie.
    :param names: names of the instances in the target's zone.
    :param budget: flows that the target may get in any second.
    :returns: tuple (names of the owners, flows a second for each of them).
    """
    distributed = budget // BUDGET_DIVISOR
    count = min(len(names), distributed, MAX_OWNERS)
    if not count:
        return frozenset(), 0
    ranked = rank_names(str(key), names)
    return frozenset(ranked[:count]), distributed // count


class ColdStarts:
    """Limits the flows that this instance opens on cold targets.

    :param name: name of this instance.
    :param limit: :class:`ColdLimit`; None if cold targets are not limited.
    """

    def __init__(self, name, limit=None):
        """Start without owned targets, as no other instance is known yet."""
        self._name = name
        self._limit = limit
        self._names = frozenset()
        self._shares = {}
        self._opened = {}

    @property
    def limited(self):
        """Return whether the flows to cold targets are limited."""
        return self._limit is not None

    def set_limit(self, limit):
        """Replace the limit.

        Flows of the last second still count, so that a target gets no more
        in the second of the change than the new limit allows.

        :param limit: :class:`ColdLimit`, or None.
        """
        self._limit = limit
        self._shares.clear()
        if limit is None:
            self._opened.clear()

    def set_members(self, names):
        """Set the instances of the own zone.

        :param names: their names, with this instance; empty while they are
            not known, as shortly after the start.
        """
        if names != self._names:
            self._names = names
            self._shares.clear()

    def may_open(self, key, per_s, now):
        """Return whether a flow may open on a cold target of the own zone.

        :param key: the target's cookie.
        :param per_s: flows a second that a cold target of its service can
            serve.
        """
        if self._limit is None:
            return True
        return self._count_recent(key, now) < self._find_share(key, per_s)

    def note_open(self, key, now):
        """Record that a flow was opened on a cold target."""
        if self._limit is not None:
            self._opened.setdefault(key, deque()).append(now)

    def keep(self, keys):
        """Discard the state of all targets but these."""
        for table in (self._shares, self._opened):
            for key in table.keys() - keys:
                table.pop(key)

    def _find_share(self, key, per_s):
        share = self._shares.get(key)
        if share is None:
            budget = self._limit.compute_budget(per_s)
            owners, per_owner = choose_owners(key, self._names, budget)
            share = self._shares[key] = per_owner if self._name in owners else 0
        return share

    def _count_recent(self, key, now):
        opened = self._opened.get(key)
        if not opened:
            return 0
        while opened and now - opened[0] > WINDOW_S:
            opened.popleft()
        return len(opened)
