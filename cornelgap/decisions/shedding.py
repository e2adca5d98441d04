"""What an overloaded entry gives up first, from its measured backlog.

Load pattern: datagrams come faster than one processor can handle, so the
socket's buffer fills and the kernel drops whatever comes next: as likely
the keep-alive of a feed as a new flow.  A dropped keep-alive costs a
person's work, a dropped open costs one more try.  So the entry drops by
choice, cheapest loss first, before the kernel drops by chance.
"""

import enum

_LEVEL_STEP_S = 0.025
"""Backlog delay that gives up one kind more; 100 ms, after which callers
send again and the load doubles, is never reached with four steps."""

_RELAX_AFTER_S = 0.5
"""Calm needed before one kind is taken back, so that levels do not flap."""


class Urgency(enum.IntEnum):
    """Kinds of datagrams, the last one given up first."""

    KEEP = 0
    """Acknowledgements and subscriptions of feeds, cancel and close: they
    cost little, and losing one costs a feed or a slot."""

    PROGRESS = 1
    """Relays and answers of requests in progress."""

    SHORT = 2
    """A new short request."""

    LONG = 3
    """A new long job."""

    OPEN = 4
    """A new flow."""


class Shedder:
    """The highest kind that this entry still handles."""

    def __init__(self):
        """Start with every kind."""
        self._keeps = Urgency.OPEN
        self._calm_since = None

    def note_backlog(self, now, delay_s):
        """Take in how long the oldest waiting datagram has waited.

        :param now: seconds.
        :param delay_s: seconds from arrival to handling.
        """
        wanted = max(
            Urgency.PROGRESS, Urgency.OPEN - int(delay_s / _LEVEL_STEP_S)
        )
        if wanted < self._keeps:
            self._keeps = Urgency(wanted)
            self._calm_since = None
        elif wanted == self._keeps:
            self._calm_since = None
        elif self._calm_since is None:
            self._calm_since = now
        elif now - self._calm_since >= _RELAX_AFTER_S:
            self._keeps = Urgency(self._keeps + 1)
            self._calm_since = now

    def may_handle(self, urgency):
        """Say whether a datagram of this kind is handled now."""
        return urgency <= self._keeps
