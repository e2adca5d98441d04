"""When a caller sends again: exponential backoff with jitter."""

FIRST_RESEND_S = 0.1
"""Before the first repeat: well above a round trip of about 10 ms."""

LONGEST_RESEND_S = 1.0
"""Cap of the backoff; a caller with a live deadline still asks each second."""

JITTER = 0.25
"""Share of each delay that is random, so that callers which lost their
packets in one event do not come back in one burst."""


def pick_delay(rng, base=0, attempt=0):
    """Pick a delay in seconds.

    :param base: fixed base, or 0 for the backoff of ``attempt``.
    :param attempt: how often it was sent before, from 0.
    """
    if not base:
        base = min(FIRST_RESEND_S * 2 ** min(attempt, 8), LONGEST_RESEND_S)
    return base * (1 - JITTER + 2 * JITTER * rng.random())
