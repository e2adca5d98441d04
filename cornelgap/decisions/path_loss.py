"""Detects packet loss on the path through this instance itself.

Load pattern: callers send until the link of a small instance is full, or a
network loses packets of all callers.  Callers then repeat (retransmit) to
every target, and a target with few flows looks as if it had stopped
answering.  Without this check, working targets would be given up one after
the other, and their flows reset.

If a target answers after a repeat, it is alive, and the packet was lost on
the path or late.  A few such repeats are chance.  If a share of all requests
needs them, at several targets, the cause is what these targets share: the
path.  Work that takes longer than a caller waits also causes a first repeat,
but a live target confirms that one at once.  A second repeat, or an answer
long after the first, therefore points to the path.

A target that has crashed answers no repeat and does not count here.  Repeats
to a zone that is cut off are answered once it is reachable again, and tell
nothing about the path of this instance; see
:meth:`PathLoss.forget_repeats`.
"""

from collections import Counter, deque
from heapq import heappop, heappush

WINDOW_S = 1.0
"""Sliding window in which requests and their repeats are counted."""

MIN_REPEAT_RATIO = 0.1
"""Repeats per request from which on the path is lossy.  With fewer lost
packets, some request to each target is answered between two repeats, so no
target looks silent."""

MIN_REPEATS = 8
MIN_TARGETS = 4
"""Repeats, and targets that they went to.  Fewer may be due to chance or to
the targets themselves."""

LATE_S = 0.2
"""Time from a repeat to its answer from which on the repeat itself was
delayed or lost.  A shorter time is work that ended soon after the first
repeat."""

MIN_CONFIRMED_SHARE = 0.05
MIN_CONFIRMED = 2
"""Share and number of the repeats that must be second repeats or answered
late.  With fewer, the others may be due to long work.  If a tenth of all
packets is lost, so is a tenth of the repeats."""

HOLD_S = 2.0
"""Time for which the path counts as lossy after the last detection.  Callers
repeat after at most 1.6 s, so the last losses show within this time."""


class PathLoss:
    """Loss on the path of this instance, from its own flows; keys are targets.

    The cost per packet does not grow with the number of lost packets, since
    an instance is busiest when it loses many.  Only the events of the last
    :data:`WINDOW_S` are kept.
    """

    def __init__(self):
        """Start with a path that loses nothing."""
        self._requests = deque()
        self._open_repeats = {}
        self._lost = []
        self._lost_by_target = Counter()
        self._confirmed = 0
        self._lossy_until = float('-inf')

    def note_request(self, now):
        """Record that a caller sent a request."""
        self._requests.append(now)
        _drop_expired(self._requests, now)

    def note_repeat(self, key, now, again=False):
        """Record that a caller repeated a packet to a target.

        :param again: whether the same packet had been repeated before.
        """
        repeats = self._open_repeats.setdefault(key, deque())
        repeats.append((now, again))
        while now - repeats[0][0] > WINDOW_S:
            repeats.popleft()

    def note_answer(self, key, answered_at, now):
        """Record that a target has answered.

        :param answered_at: time of the answer; lies in the past if a caller
            acknowledged it late.
        """
        repeats = self._open_repeats.get(key)
        while repeats and repeats[0][0] <= answered_at:
            at, again = repeats.popleft()
            is_confirmed = again or answered_at - at >= LATE_S
            # A heap, as repeats are not answered in the order of arrival.
            heappush(self._lost, (at, key, is_confirmed))
            self._lost_by_target[key] += 1
            self._confirmed += is_confirmed
        if repeats is not None and not repeats:
            self._open_repeats.pop(key)
        if self._is_losing_packets(now):
            self._lossy_until = now + HOLD_S

    def forget_repeats(self):
        """Discard unanswered repeats, as a zone is reachable again."""
        self._open_repeats.clear()

    def is_lossy(self, now):
        """Return whether repeats are due to the path and not to targets."""
        return now < self._lossy_until

    def clear(self):
        """Discard all events, for example after a stall of this process."""
        self._requests.clear()
        self._open_repeats.clear()
        self._lost.clear()
        self._lost_by_target.clear()
        self._confirmed = 0
        self._lossy_until = float('-inf')

    def keep(self, keys):
        """Discard the unanswered repeats of all targets but these."""
        for key in self._open_repeats.keys() - keys:
            self._open_repeats.pop(key)

    def _is_losing_packets(self, now):
        _drop_expired(self._requests, now)
        self._drop_expired_lost(now)
        repeats = len(self._lost)
        if repeats < MIN_REPEATS:
            return False
        if repeats < MIN_REPEAT_RATIO * len(self._requests):
            return False
        if self._confirmed < max(MIN_CONFIRMED, MIN_CONFIRMED_SHARE * repeats):
            return False
        return len(self._lost_by_target) >= MIN_TARGETS

    def _drop_expired_lost(self, now):
        while self._lost and now - self._lost[0][0] > WINDOW_S:
            _, key, is_confirmed = heappop(self._lost)
            self._confirmed -= is_confirmed
            self._lost_by_target[key] -= 1
            if not self._lost_by_target[key]:
                self._lost_by_target.pop(key)


def _drop_expired(times, now):
    while times and now - times[0] > WINDOW_S:
        times.popleft()
