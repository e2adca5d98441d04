"""Slow start: raises the share of work of a cold target over time.

Load pattern: a target joins, or returns after failures, with empty caches.
It has no flows, so all six entry instances prefer it at once.  If it received
all new work, it would be slow, time out and be taken for broken.
"""

_RAMP_S = 10.0
"""Time until the full share; the caches of the users' targets warm up within
seconds."""

_INITIAL_SHARE = 0.1
"""Share at the start; enough work to warm up the caches."""


def compute_share(now, since):
    """Return the share of work of a target, 0.1 to 1.

    :param now: seconds.
    :param since: time at which the target joined or returned, in seconds;
        None if it has been serving for long.
    """
    if since is None:
        return 1.0
    age = max(0, now - since)
    return min(1.0, _INITIAL_SHARE + (1 - _INITIAL_SHARE) * age / _RAMP_S)
