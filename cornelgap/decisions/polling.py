"""Scheduling of registrations with the platform and of polls of its lists.

The list grows with the number of entry instances and targets, while an
instance may use only a few kilobytes a second for control traffic.  With 690
entries and 4,600 targets the list has about 400 KB; polled every two seconds
by every instance, it would take 200 KB/s at each instance and 345 calls a
second at the platform.  The interval therefore grows with the size of the
last answer.  When the address of a peer is missing, the list is polled early
instead.
"""

from cornelgap.decisions.backoff import compute_backoff

REGISTER_INTERVAL_S = 2.0
"""Interval of registrations; they lapse after a few missed ones."""

LIST_INTERVAL_S = 2.0
"""Shortest interval between two polls of a list."""

LIST_BYTES_PER_S = 250
"""Bandwidth for polling each of the two lists.

Together they take half a kilobyte per second, of the three that are reserved
for control traffic."""

EARLY_BANDWIDTH_FACTOR = 20
"""Factor on the bandwidth for as long as early polls are requested."""

MAX_INTERVAL_S = 1200.0
MAX_BACKOFF_S = 8.0
JITTER = 0.2


class Poll:
    """Schedule of one call that is repeated, with at most one in progress."""

    def __init__(self, rng, min_interval_s, bytes_per_s=0):
        """Schedule the first call at once.

        :param rng: random generator for jitter.
        :param min_interval_s: shortest interval between two calls, in seconds.
        :param bytes_per_s: bytes per second that answers may take; 0 for no
            limit.
        """
        self._rng = rng
        self._min_interval_s = min_interval_s
        self._bytes_per_s = bytes_per_s
        self._failures = 0
        self._early_interval_s = min_interval_s
        self._running = False
        self._ended_at = float('-inf')
        self._due_at = float('-inf')

    def start_if_due(self, now):
        """Return whether the call is due; if so, mark it as in progress."""
        if self._running or now < self._due_at:
            return False
        self._running = True
        return True

    def bring_forward(self, now):
        """Bring the next call forward, within the bandwidth of early polls."""
        early = max(now, self._ended_at + self._early_interval_s)
        self._due_at = min(self._due_at, early)

    def record_success(self, now, size=0):
        """Record that the call has succeeded.

        :param size: size of the answer in bytes.
        """
        wait = self._min_interval_s
        if self._bytes_per_s:
            wait = min(MAX_INTERVAL_S, max(wait, size / self._bytes_per_s))
            self._early_interval_s = max(
                self._min_interval_s, wait / EARLY_BANDWIDTH_FACTOR
            )
        self._failures = 0
        self._schedule_next(now, wait)

    def record_failure(self, now):
        """Record that the call has failed; back off exponentially.

        Instances that lost the platform at the same time must not all retry
        at the same time, or the end of the outage starts the next one.
        """
        self._failures += 1
        first_s = self._min_interval_s / 2
        self._schedule_next(
            now, compute_backoff(first_s, self._failures, MAX_BACKOFF_S)
        )

    def _schedule_next(self, now, wait):
        self._running = False
        self._ended_at = now
        self._due_at = now + wait * self._rng.uniform(1 - JITTER, 1 + JITTER)
