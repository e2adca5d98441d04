"""Which datagrams an overloaded entry instance drops first.

Load pattern: datagrams arrive faster than one processor can handle them, so
the socket buffer fills, and the kernel drops whatever comes next: the
keep-alive of a feed as likely as the opening of a flow.  A dropped keep-alive
can lose a user's work, a dropped opening costs one retry.  So the instance
drops the datagrams that matter least before the kernel drops any at random.
"""

import enum

_LEVEL_STEP_S = 0.025
"""Backlog delay per kind of datagram that is dropped.  The four steps stay
below 100 ms, after which callers send again and the load doubles."""

_RECOVERY_S = 0.5
"""Time with a lower backlog before one more kind is handled again, so that
the level does not oscillate."""


class Urgency(enum.IntEnum):
    """Kinds of datagrams; the one with the highest number is dropped first."""

    KEEP = 0
    """Acknowledgements and subscriptions of feeds, cancel and close: they
    are cheap to handle, and losing one costs a feed or a slot."""

    PROGRESS = 1
    """Relays and answers of requests in progress."""

    SHORT = 2
    """A new short request."""

    LONG = 3
    """A new long job."""

    OPEN = 4
    """A new flow."""


class Shedder:
    """Tracks which kinds of datagrams an entry instance handles."""

    def __init__(self):
        """Start with handling every kind."""
        self._highest_kept = Urgency.OPEN
        self._lower_since = None

    def note_backlog(self, now, delay_s):
        """Adapt the level to the wait of the oldest waiting datagram.

        :param now: seconds.
        :param delay_s: seconds from arrival to handling.
        """
        wanted = max(
            Urgency.PROGRESS, Urgency.OPEN - int(delay_s / _LEVEL_STEP_S)
        )
        if wanted < self._highest_kept:
            self._highest_kept = Urgency(wanted)
            self._lower_since = None
        elif wanted == self._highest_kept:
            self._lower_since = None
        elif self._lower_since is None:
            self._lower_since = now
        elif now - self._lower_since >= _RECOVERY_S:
            self._highest_kept = Urgency(self._highest_kept + 1)
            self._lower_since = now

    def may_handle(self, urgency):
        """Return whether a datagram of this kind is handled now."""
        return urgency <= self._highest_kept
