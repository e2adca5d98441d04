"""Retries that cannot multiply: a budget, a deadline, and jitter.

Load pattern: a target slows down or sheds, so more requests fail, so more
are sent again.  Without a budget three more tries can make four times
the load of each request, and the service stays down after the cause
has gone.  With one, retries are at most a fixed share of the requests.
"""

from cornelgap.core.verdicts import Ran

_SHARE = 0.1
"""Retries earned by one request: load grows by a tenth at worst."""

_FLOOR_PER_S = 1.0
"""Retries a second that are always earned, for a service with few requests."""

_CAP = 10.0
"""Saved retries at most, so that a quiet hour does not pay for a storm."""

_MIN_LEFT_S = 0.02
"""A retry needs at least this long: two ways to a target and its answer."""

_JITTER = 0.5


class RetryBudget:
    """How many requests of one service may be sent again by this entry."""

    def __init__(self):
        """Start with half the cap, for faults soon after a start."""
        self._saved = _CAP / 2
        self._filled_at = None

    @classmethod
    def from_cfg(cls, service):
        """Build the budget of one service; every service earns alike."""
        return cls()

    def note_request(self, now):
        """Earn a share of a retry for one first-time request."""
        self._fill(now)
        self._saved = min(_CAP, self._saved + _SHARE)

    def may_retry(self, now, deadline, ran, idempotent):
        """Say whether one retry may be sent, and pay for it if so.

        :param now: seconds.
        :param deadline: of the request, seconds on the same clock.
        :param ran: what is known of the first try.
        :param idempotent: whether running it twice does no harm.
        """
        if deadline - now < _MIN_LEFT_S:
            return False
        if not _is_repeatable(ran, idempotent):
            return False
        self._fill(now)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _fill(self, now):
        if self._filled_at is not None:
            earned = _FLOOR_PER_S * max(0, now - self._filled_at)
            self._saved = min(_CAP, self._saved + earned)
        self._filled_at = now


def pick_retry_after_ms(rng, base_ms):
    """Return when to come back, spread over base to one and a half times it.

    Callers refused in the same instant would otherwise all come back in the
    same instant; one would notice it as a burst that repeats.

    :param rng: generator.
    :param base_ms: earliest useful time, milliseconds.
    """
    return round(base_ms * (1 + _JITTER * rng.random()))


def _is_repeatable(ran, idempotent):
    if ran is Ran.NOT_RUN:
        return True
    # A request that may have run could run twice: a hold would book an
    # aircraft twice.  Only one that is idempotent is tried again.
    return idempotent and ran is not Ran.DONE
