"""Max-min fair division of the admitted openings among callers.

An opening is the first packet (SYN) of a new flow.

Load pattern: one caller sends ten times as many requests as any other.  If
every opening is admitted with the same probability, nine of ten admitted ones
belong to that caller, and the other callers are refused because of it.  With
max-min fair shares a caller that asks for less than the fair level gets all
that it asks for, and the callers above the level get equal parts of the rest.
"""

COUNT_WINDOW_S = 1.0
"""Time in which the openings of a caller are counted."""

MAX_CALLERS = 4096
"""Callers counted in one window, which takes about 400 KB.  Openings of any
further caller are admitted with the admitted share of their priority."""


def compute_fair_level(counts, budget):
    """Compute the max-min fair level.

    Callers that ask for no more than the level get what they ask for, all
    others get the level.

    :param counts: number of openings of each caller.
    :param budget: number of openings to admit in all.
    :returns: openings for one caller; infinite if the budget covers all.
    """
    remaining = budget
    ordered = sorted(counts)
    for position, count in enumerate(ordered):
        level = remaining / (len(ordered) - position)
        if count > level:
            return level
        remaining -= count
    return float('inf')


class FairShares:
    """Counts openings by caller and computes their admission probability."""

    def __init__(self, now):
        """Start without callers, and admit everything."""
        self._window_began_at = now
        self._share = 1
        self._level = None
        self._counts = {}
        self._previous_counts = {}

    @property
    def limited_callers(self):
        """Return the number of callers that asked for more than the level."""
        if self._level is None:
            return 0
        return sum(
            count > self._level for count in self._previous_counts.values()
        )

    def set_share(self, share):
        """Set the share of all openings to admit."""
        if share != self._share:
            self._share = share
            self._update_level()

    def note_opening(self, caller, now):
        """Count an opening of a caller."""
        self._roll_window(now)
        if caller in self._counts or len(self._counts) < MAX_CALLERS:
            self._counts[caller] = self._counts.get(caller, 0) + 1

    def compute_probability(self, caller):
        """Return the probability, 0 to 1, of admitting a caller's opening."""
        count = max(
            self._counts.get(caller, 0), self._previous_counts.get(caller, 0)
        )
        if self._level is None or not count:
            return self._share
        return min(1, self._level / count)

    def _roll_window(self, now):
        """Start a new window once in :data:`COUNT_WINDOW_S`."""
        if now - self._window_began_at < COUNT_WINDOW_S:
            return
        recent = now - self._window_began_at < 2 * COUNT_WINDOW_S
        self._previous_counts = self._counts if recent else {}
        self._counts = {}
        self._window_began_at = now
        self._update_level()

    def _update_level(self):
        counts = self._previous_counts.values()
        budget = self._share * sum(counts)
        self._level = compute_fair_level(counts, budget) if counts else None
