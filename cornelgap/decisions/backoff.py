"""Pauses that double with each failure in a row, up to a bound.

Load pattern: something that is asked again and again is away, for a second
or for hours.  Without a bound the first try after its return comes late;
without doubling it is pressed while it recovers.  Jitter is the caller's.
"""

MOST_DOUBLINGS = 30
"""A factor of 10**9, beyond any bound in use.  Unlimited, the power of two
outgrows a float after a thousand failures, and the task that counts ends
with an error, on all instances in the same minute of a long outage."""


def compute_backoff(first_s, failures, longest_s):
    """Return the pause after some failures in a row, seconds.

    :param first_s: pause after the first failure.
    :param failures: at least 1.
    :param longest_s: bound of the pause.
    """
    doublings = min(failures - 1, MOST_DOUBLINGS)
    return min(first_s * 2**doublings, longest_s)
