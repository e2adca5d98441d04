"""A cold target's share of work, rising with time.

Load pattern: a target joins, or returns after failures, with empty caches.
It has no flows, so it looks best to all six entries at once; given all new
work it is slow, times out, and is taken for broken.
"""

_RAMP_S = 10.0
"""Time to the full share; caches of the users' targets warm in seconds."""

_FIRST = 0.1
"""Share at once: enough work to warm up by."""


def compute_share(now, since):
    """Return the share of work, 0.1 to 1, of a target serving since then.

    :param now: seconds.
    :param since: when it joined or returned, seconds; None if long ago.
    """
    if since is None:
        return 1.0
    age = max(0, now - since)
    return min(1.0, _FIRST + (1 - _FIRST) * age / _RAMP_S)
