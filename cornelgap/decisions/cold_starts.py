"""How many new flows a cold target gets from all instances together.

Load pattern: a target that has just started is slow for seconds and bears
few requests a second.  It is also empty, so that each instance finds it the
least loaded one and sends its next flows there at the same moment; when an
availability zone is taken back, or a whole service restarted, all callers
that wait press onto cold targets at once.  Without a bound their queues fill
and the requests in them pass their deadlines.

Nobody can be asked first, since an opening has to be placed now and any
instance may be cut off.  Therefore each cold target has a few owners, the
instances of its own zone that rank highest for it by rendezvous hashing.
Only owners open flows there, each at most its part of the budget.

Instances learn at different moments that one has come or gone, and then two
sets of owners are at work.  Half of the budget is given out, and one change
replaces one owner at most.  An instance that is cut off goes on counting
those that it knew, as they go on counting it.
"""

from collections import deque

from msgspec import Struct

from cornelgap.decisions.fanout import rank_names

WINDOW_S = 1.0
"""Span in which flows are counted; it slides."""

GIVEN_PART = 2
"""One part of so many of the budget is given out."""

MOST_OWNERS = 8
"""Owners of one target.  More of them cost more hashing for each target, and
few targets get more flows a second than so many instances may open."""


class ColdLimit(Struct, frozen=True):
    """What a cold target may get in one second, from all instances.

    :param over: factor on the flows a second that its service names.
    :param slack: flows on top of that.
    """

    over: float
    slack: float

    def compute_budget(self, per_s):
        """Return how many flows a cold target may get in any second.

        :param per_s: flows a second that a cold target bears.
        """
        return int(per_s * self.over + self.slack)


def choose_owners(key, names, budget):
    """Choose who may open flows on a cold target, and how many each.

    :param key: the target's cookie.
    :param names: instances of the target's zone.
    :param budget: flows that the target may get in any second.
    :returns: tuple (set of names, flows a second for each of them).
    """
    given = budget // GIVEN_PART
    count = min(len(names), given, MOST_OWNERS)
    if not count:
        return frozenset(), 0
    ranked = rank_names(str(key), names)
    return frozenset(ranked[:count]), given // count


class ColdStarts:
    """The flows that this instance opens on cold targets.

    :param name: this instance.
    :param limit: :class:`ColdLimit`; None if cold targets bear what others
        do.
    """

    def __init__(self, name, limit=None):
        """Own no target before the other instances are known."""
        self._name = name
        self._limit = limit
        self._names = frozenset()
        self._shares = {}
        self._opened = {}

    @property
    def limited(self):
        """Say whether cold targets get a bounded number of flows."""
        return self._limit is not None

    def set_limit(self, limit):
        """Bound cold targets otherwise from now on.

        Flows of the last second go on counting, so that a target gets no
        more in the second of the change than the new limit gives.

        :param limit: :class:`ColdLimit`, or None.
        """
        self._limit = limit
        self._shares.clear()
        if limit is None:
            self._opened.clear()

    def set_members(self, names):
        """Note which instances the own zone has.

        :param names: these and this one; empty while that is not known, as
            shortly after the start.
        """
        if names != self._names:
            self._names = names
            self._shares.clear()

    def may_open(self, key, per_s, now):
        """Say whether a flow may be opened on a cold target of the own zone.

        :param key: the target's cookie.
        :param per_s: flows a second that a cold target of its service bears.
        """
        if self._limit is None:
            return True
        return self._count_lately(key, now) < self._find_share(key, per_s)

    def note_open(self, key, now):
        """Note that a flow was opened on a cold target."""
        if self._limit is not None:
            self._opened.setdefault(key, deque()).append(now)

    def keep(self, keys):
        """Forget all targets but these."""
        for table in (self._shares, self._opened):
            for key in table.keys() - keys:
                table.pop(key)

    def _find_share(self, key, per_s):
        found = self._shares.get(key)
        if found is None:
            budget = self._limit.compute_budget(per_s)
            owners, share = choose_owners(key, self._names, budget)
            found = self._shares[key] = share if self._name in owners else 0
        return found

    def _count_lately(self, key, now):
        opened = self._opened.get(key)
        if not opened:
            return 0
        while opened and now - opened[0] > WINDOW_S:
            opened.popleft()
        return len(opened)
