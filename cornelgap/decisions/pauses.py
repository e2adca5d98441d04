"""Short pauses that let entries share a target's last room in turn.

Load pattern: a full target, asked by six entries.  The entry whose request
has just ended knows first that there is room, takes it again, and the
others are shed for ever.  An entry that was shed comes back soon; one that
was served while others wait at the target holds back a little.
"""

_SHED_SHARE = 0.1
"""Share of a request's time before the next try.  Longer pauses, doubled
with each shed, let entries that are served keep the slots: see the table
in docs/DECISIONS.md."""

_YIELD_SHARE = 0.5
_SHORTEST_S = 0.005
_LONGEST_S = 0.25


class Pause:
    """Until when a lane sends nothing to its target.

    :param rng: generator for jitter.
    """

    def __init__(self, rng):
        """Start without a pause."""
        self._rng = rng
        self._others_wait = False
        self.until = float('-inf')

    def lasts(self, now):
        """Say whether nothing may be sent now."""
        return now < self.until

    def note_report(self, waiting):
        """Take in how many requests wait at the target itself."""
        self._others_wait = waiting > 0

    def note_shed(self, now, took_s):
        """Hold back before the next try.

        :param took_s: mean seconds of a request at this target.
        """
        self._set(now, max(_SHORTEST_S, _SHED_SHARE * took_s))

    def note_ok(self, now, took_s):
        """Let others go first if some wait; the target stays busy."""
        if self._others_wait:
            self._set(now, _YIELD_SHARE * took_s)

    def _set(self, now, base):
        length = base * (0.5 + self._rng.random())
        self.until = max(self.until, now + min(length, _LONGEST_S))
