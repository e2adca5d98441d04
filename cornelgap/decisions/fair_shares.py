"""How many openings each caller gets while only a share is admitted.

Load pattern: one caller sends ten times as many requests as any other.  If
each opening has the same chance, nine of ten admitted ones are that
caller's, and the others are refused for it.  With max-min fair shares a
caller that asks for less than the level gets all of it, and those above the
level share the rest alike.
"""

COUNT_S = 1.0
"""Span in which openings of a caller are counted."""

MOST_CALLERS = 4096
"""Callers counted at a time, about 400 KB; a further one is admitted by the
share of its priority."""


def compute_fair_level(counts, budget):
    """Compute the level up to which each caller gets what it asks for.

    :param counts: openings of each caller.
    :param budget: openings that are admitted together.
    :returns: openings for one caller; infinite if the budget covers all.
    """
    left = budget
    ordered = sorted(counts)
    for position, count in enumerate(ordered):
        level = left / (len(ordered) - position)
        if count > level:
            return level
        left -= count
    return float('inf')


class FairShares:
    """Openings by caller, and the chance that a caller's next one has."""

    def __init__(self, now):
        """Know no caller."""
        self._since = now
        self._share = 1
        self._level = None
        self._counts = {}
        self._before = {}

    @property
    def limited(self):
        """Return how many callers have asked for more than the level."""
        if self._level is None:
            return 0
        return sum(count > self._level for count in self._before.values())

    def set_share(self, share):
        """Note which share of all openings is admitted."""
        if share != self._share:
            self._share = share
            self._find_level()

    def note_opening(self, caller, now):
        """Count an opening."""
        self._forget(now)
        if caller in self._counts or len(self._counts) < MOST_CALLERS:
            self._counts[caller] = self._counts.get(caller, 0) + 1

    def find_chance(self, caller):
        """Return the chance, 0 to 1, of a caller's opening."""
        count = max(self._counts.get(caller, 0), self._before.get(caller, 0))
        if self._level is None or not count:
            return self._share
        return min(1, self._level / count)

    def _forget(self, now):
        """Begin to count anew once in :data:`COUNT_S`."""
        if now - self._since < COUNT_S:
            return
        recent = now - self._since < 2 * COUNT_S
        self._before = self._counts if recent else {}
        self._counts = {}
        self._since = now
        self._find_level()

    def _find_level(self):
        counts = self._before.values()
        budget = self._share * sum(counts)
        self._level = compute_fair_level(counts, budget) if counts else None
