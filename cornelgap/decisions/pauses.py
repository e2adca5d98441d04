"""Short pauses that let entry instances share a full target's slots.

Load pattern: six entry instances send to a full target.  The instance whose
request has just ended is the first to know of the free slot and takes it
again, while all requests of the others are shed.  So an instance whose
request was shed retries soon, and one that was served while requests of
others wait at the target pauses briefly.
"""

_SHED_SHARE = 0.1
"""Pause after a shed request, as a share of the mean request time.  Longer
pauses, doubled with each shed request, let instances that are served keep the
slots: see the table in docs/DECISIONS.md."""

_YIELD_SHARE = 0.5
"""Pause after a served request while others wait, as a share of the mean
request time."""

_MIN_SHED_PAUSE_S = 0.005
_MAX_PAUSE_S = 0.25


class Pause:
    """Time until which no request is sent to one target.

    :param rng: random number generator for jitter.
    """

    def __init__(self, rng):
        """Start without a pause."""
        self._rng = rng
        self._target_has_queue = False
        self.until = float('-inf')

    def is_active(self, now):
        """Return whether no request may be sent now."""
        return now < self.until

    def note_report(self, waiting):
        """Record how many requests wait at the target itself."""
        self._target_has_queue = waiting > 0

    def note_shed(self, now, took_s):
        """Pause after the target refused a request for load.

        :param took_s: mean duration of a request at this target, seconds.
        """
        self._set(now, max(_MIN_SHED_PAUSE_S, _SHED_SHARE * took_s))

    def note_ok(self, now, took_s):
        """Pause for other instances if requests wait at the target.

        The waiting requests keep the target busy.

        :param took_s: mean duration of a request at this target, seconds.
        """
        if self._target_has_queue:
            self._set(now, _YIELD_SHARE * took_s)

    def _set(self, now, base_s):
        length_s = base_s * (0.5 + self._rng.random())
        self.until = max(self.until, now + min(length_s, _MAX_PAUSE_S))
