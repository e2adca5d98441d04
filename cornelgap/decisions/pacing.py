"""A steady pace for re-homing and re-pinning, the urgent part first.

Load pattern: an entry instance dies or a target leaves, and thousands of
flows want a new place in the same moment.  Unpaced, their handshakes fill
the sockets and targets of the survivors, whose own requests then time out:
a second overload caused by the repair of the first.
"""

_RESERVE = 0.5
"""Share of the burst kept for urgent work: feeds and work in progress."""


class Pacer:
    """A token bucket of which a part is for urgent work only.

    :param rate_per_s: moves a second in the long run.
    :param burst: moves at once after a quiet time, at least 1.
    """

    def __init__(self, rate_per_s, burst):
        """Start full: the first few moves need not wait."""
        self._rate = rate_per_s
        self._burst = max(1, burst)
        self._tokens = float(self._burst)
        self._filled_at = None
        # A burst of 1 cannot be shared out; urgent work then has no edge.
        self._reserve = _RESERVE * self._burst if self._burst > 1 else 0

    def take(self, now, urgent):
        """Take one move if there is one, and say so.

        :param now: seconds.
        :param urgent: a feed or work in progress.
        """
        self._fill(now)
        if self._tokens < self._need(urgent):
            return False
        self._tokens -= 1
        return True

    def next_time(self, now, urgent=False):
        """Return when the next such move may be taken, seconds."""
        self._fill(now)
        missing = self._need(urgent) - self._tokens
        return now + max(0, missing) / self._rate

    def _need(self, urgent):
        return 1 if urgent else min(self._burst, 1 + self._reserve)

    def _fill(self, now):
        if self._filled_at is not None:
            earned = self._rate * max(0, now - self._filled_at)
            self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
