"""Retries limited by a budget and a deadline, and jitter for retry times.

Load pattern: a target slows down or sheds load, so more requests fail, and
more are sent again.  Without a budget, three retries of each request make
four times the load, and the service stays overloaded after the cause has
gone.  With one, retries are at most a fixed share of the requests.
"""

from cornelgap.core.verdicts import RunState

_RETRIES_PER_REQUEST = 0.1
"""Retries earned by one request: load grows by a tenth at most."""

_MIN_RETRIES_PER_S = 1.0
"""Retries earned per second regardless of load, for a service with few
requests."""

_MAX_SAVED_RETRIES = 10.0
"""Upper limit of the saved budget, so that an hour of low traffic does not
allow a burst of retries."""

_MIN_TIME_LEFT_S = 0.02
"""Time that a retry needs at least: two network paths to a target and its
answer."""

_JITTER = 0.5
"""Random part of a retry time, as a share of its base."""


class RetryBudget:
    """Token bucket of retries for one service at one entry instance."""

    def __init__(self):
        """Start with half the maximum, for faults soon after a start."""
        self._saved = _MAX_SAVED_RETRIES / 2
        self._refilled_at = None

    @classmethod
    def from_cfg(cls, service):
        """Create the budget of one service; all services use one rate."""
        return cls()

    def note_request(self, now):
        """Add the share of a retry that one first attempt earns."""
        self._refill(now)
        self._saved = min(
            _MAX_SAVED_RETRIES, self._saved + _RETRIES_PER_REQUEST
        )

    def may_retry(self, now, deadline, ran, idempotent):
        """Return whether one retry may be sent, and consume it if so.

        :param now: seconds.
        :param deadline: of the request, seconds on the same clock.
        :param ran: what is known about whether the first attempt ran.
        :param idempotent: whether running the request twice is harmless.
        """
        if deadline - now < _MIN_TIME_LEFT_S:
            return False
        if not _is_repeatable(ran, idempotent):
            return False
        self._refill(now)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _refill(self, now):
        if self._refilled_at is not None:
            earned = _MIN_RETRIES_PER_S * max(0, now - self._refilled_at)
            self._saved = min(_MAX_SAVED_RETRIES, self._saved + earned)
        self._refilled_at = now


def pick_retry_after_ms(rng, base_ms):
    """Return a retry time drawn from base to one and a half times the base.

    Callers that are refused in the same instant would otherwise retry in the
    same instant, and cause the same burst again.

    :param rng: random number generator.
    :param base_ms: earliest useful time, milliseconds.
    """
    return round(base_ms * (1 + _JITTER * rng.random()))


def _is_repeatable(ran, idempotent):
    if ran is RunState.NOT_RUN:
        return True
    # A request that may have run could run twice; a reservation would book
    # an aircraft twice.  Such a request is retried only if it is idempotent.
    return idempotent and ran is not RunState.DONE
