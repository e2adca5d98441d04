"""Rate limiting for re-homing and re-pinning, with a reserve for urgent work.

When an entry instance crashes or a target leaves, thousands of flows need a
new home or target at the same moment.  Without a limit, their handshakes
fill the sockets of the remaining instances and the queues of their targets,
whose own requests then time out: the recovery causes a second overload.
"""

_RESERVED_SHARE = 0.5
"""Share of the burst reserved for urgent work: feeds and work in progress."""


class Pacer:
    """A token bucket that reserves some tokens for urgent work.

    :param rate_per_s: tokens added per second.
    :param burst: capacity of the bucket, at least 1.
    """

    def __init__(self, rate_per_s, burst):
        """Start with a full bucket."""
        self._rate = rate_per_s
        self._burst = max(1, burst)
        self._tokens = float(self._burst)
        self._refilled_at = None
        # A burst of 1 cannot be divided, so nothing is reserved then.
        self._reserve = _RESERVED_SHARE * self._burst if self._burst > 1 else 0

    def take(self, now, urgent):
        """Take one token, and return whether there was one to take.

        :param now: seconds.
        :param urgent: whether it is for a feed or work in progress.
        """
        self._refill(now)
        if self._tokens < self._compute_required(urgent):
            return False
        self._tokens -= 1
        return True

    def next_time(self, now, urgent=False):
        """Return when the next token will be available, in seconds."""
        self._refill(now)
        missing = self._compute_required(urgent) - self._tokens
        return now + max(0, missing) / self._rate

    def _compute_required(self, urgent):
        return 1 if urgent else min(self._burst, 1 + self._reserve)

    def _refill(self, now):
        if self._refilled_at is not None:
            added = self._rate * max(0, now - self._refilled_at)
            self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now
