"""Truncated exponential backoff.

A server that is called repeatedly may be down for a second or for hours.
Without an upper bound, the first retry after its recovery comes late; without
doubling, retries overload it while it recovers.  Callers add their own
jitter.
"""

MAX_DOUBLINGS = 30
"""Limit on the exponent; a factor of 10**9 exceeds any bound in use.

Without it, the power of two overflows a float after a thousand failures, and
the calling task ends with an error, on all instances in the same minute of a
long outage."""


def compute_backoff(first_s, failures, longest_s):
    """Return the delay before the next attempt, in seconds.

    :param first_s: delay after the first failure, in seconds.
    :param failures: number of consecutive failures, at least 1.
    :param longest_s: upper bound of the delay, in seconds.
    """
    doublings = min(failures - 1, MAX_DOUBLINGS)
    return min(first_s * 2**doublings, longest_s)
