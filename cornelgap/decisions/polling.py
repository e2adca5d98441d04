"""When to register with the platform and when to read its instance list.

Load pattern: the list grows with the fleet and the targets, while an entry
instance may use a few kilobytes a second for control.  At 690 entries and
4,600 targets one reading is some 400 KB; read every two seconds by
everybody it would take 200 KB/s at each instance and 345 calls a second at
the platform.  So the wait grows with the size of the last answer, and a
peer of which only the name is known causes an early reading instead.
"""

from cornelgap.decisions.backoff import compute_backoff

REGISTER_S = 2.0
"""Seconds between two registrations; they lapse after a few."""

LIST_S = 2.0
"""Least seconds between two readings of a list."""

LIST_BYTES_PER_S = 250
"""What reading one of the two lists may take, in bytes a second: half a
kilobyte of the three that control may use."""

EARLY_FACTOR = 20
"""How much more an early reading may take, for as long as it is wanted."""

MOST_S = 1200.0
BACKOFF_MOST_S = 8.0
JITTER = 0.2


class Poll:
    """The schedule of one repeated call."""

    def __init__(self, rng, least_s, budget=0):
        """Let the call be due at once.

        :param least_s: seconds between two calls at least.
        :param budget: bytes a second that answers may take, 0 for any.
        """
        self._rng = rng
        self._least_s = least_s
        self._budget = budget
        self._fails = 0
        self._early_s = least_s
        self._running = False
        self._ended_at = float('-inf')
        self._due_at = float('-inf')

    def start_due(self, now):
        """Say whether to call now; if so, it counts as under way."""
        if self._running or now < self._due_at:
            return False
        self._running = True
        return True

    def hasten(self, now):
        """Make the call due early, yet not so early that it floods."""
        early = max(now, self._ended_at + self._early_s)
        self._due_at = min(self._due_at, early)

    def note_done(self, now, size=0):
        """The call has succeeded.

        :param size: bytes of the answer.
        """
        wait = self._least_s
        if self._budget:
            wait = min(MOST_S, max(wait, size / self._budget))
            self._early_s = max(self._least_s, wait / EARLY_FACTOR)
        self._fails = 0
        self._end(now, wait)

    def note_failed(self, now):
        """The call has failed; the next one waits longer each time.

        Instances that all lost the platform at once must not come back to
        it at once, or the outage ends in the next one.
        """
        self._fails += 1
        first_s = self._least_s / 2
        self._end(now, compute_backoff(first_s, self._fails, BACKOFF_MOST_S))

    def _end(self, now, wait):
        self._running = False
        self._ended_at = now
        self._due_at = now + wait * self._rng.uniform(1 - JITTER, 1 + JITTER)
