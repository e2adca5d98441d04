"""Whether packets are lost on the way through this instance itself.

Load pattern: callers press until the link of a small instance is full, or a
network loses packets of everybody.  Callers then repeat to every target, and
for a target with few flows it looks as if it answered nobody any more.
Judged by that, targets that serve are given up one after the other, and the
flows that they hold are reset.

A repeat that is followed by an answer of its target was lost on the way, or
was late: the target lives.  One here and there is chance; where a part of
all requests needs them, at several targets, the cause is what these have in
common.  Work that takes longer than a caller waits brings a first repeat,
too; but a live target confirms that one at once, so a second one, or an
answer long after it, speaks of the way.

A target that has crashed answers no repeat and changes nothing here.  What
callers repeat to a zone that is cut off is answered when it is back, and says
nothing of the way here.
"""

from collections import Counter, deque
from heapq import heappop, heappush

WINDOW_S = 1.0
"""Span in which requests and their repeats are counted; it slides."""

LOST_SHARE = 0.1
"""Repeats for each request from which on a way is lossy.  With fewer lost
packets, some request to each target is answered between two repeats."""

LEAST_REPEATS = 8
LEAST_TARGETS = 4
"""Repeats, and targets that they went to, below which it may be chance or
the targets themselves."""

LATE_S = 0.2
"""Time from a repeat to the answer from which on the repeat was late itself:
less is work that went on a little beyond the first repeat."""

SURE_SHARE = 0.05
LEAST_SURE = 2
"""Of all repeats, those that came again or were answered late, below which
the others may be due to long work.  Where a tenth of all packets is lost, a
tenth of the repeats is."""

HOLD_S = 2.0
"""Time for which a way counts as lossy after that: callers repeat after at
most 1.6 s, so what was lost last shows until then."""


class PathLoss:
    """What this instance's own flows say of its way; keys name targets.

    Each packet costs the same however many are lost: an instance is busiest
    just then.  No more is kept than the last :data:`WINDOW_S` has brought.
    """

    def __init__(self):
        """Take the way to be good."""
        self._requests = deque()
        self._open_repeats = {}
        self._lost = []
        self._lost_by_target = Counter()
        self._sure = 0
        self._lossy_until = float('-inf')

    def note_request(self, now):
        """Note that a caller sent a request."""
        self._requests.append(now)
        _drop_old(self._requests, now)

    def note_repeat(self, key, now, again=False):
        """Note that a caller repeated what it had sent to a target.

        :param again: whether it had repeated the same before.
        """
        repeats = self._open_repeats.setdefault(key, deque())
        repeats.append((now, again))
        while now - repeats[0][0] > WINDOW_S:
            repeats.popleft()

    def note_answer(self, key, answered_at, now):
        """Note that a target has answered.

        :param answered_at: time of the answer; the past where a caller told
            of it late.
        """
        repeats = self._open_repeats.get(key)
        while repeats and repeats[0][0] <= answered_at:
            at, again = repeats.popleft()
            is_sure = again or answered_at - at >= LATE_S
            # A heap: they are answered in another order than they came.
            heappush(self._lost, (at, key, is_sure))
            self._lost_by_target[key] += 1
            self._sure += is_sure
        if repeats is not None and not repeats:
            self._open_repeats.pop(key)
        if self._is_losing(now):
            self._lossy_until = now + HOLD_S

    def forget_repeats(self):
        """Forget repeats without an answer, as a zone is back."""
        self._open_repeats.clear()

    def is_lossy(self, now):
        """Say whether repeats speak of the way rather than of targets."""
        return now < self._lossy_until

    def clear(self):
        """Forget all that was noted, as after a standstill of our own."""
        self._requests.clear()
        self._open_repeats.clear()
        self._lost.clear()
        self._lost_by_target.clear()
        self._sure = 0
        self._lossy_until = float('-inf')

    def keep(self, keys):
        """Forget all targets but these."""
        for key in self._open_repeats.keys() - keys:
            self._open_repeats.pop(key)

    def _is_losing(self, now):
        _drop_old(self._requests, now)
        self._drop_old_lost(now)
        repeats = len(self._lost)
        if repeats < LEAST_REPEATS:
            return False
        if repeats < LOST_SHARE * len(self._requests):
            return False
        if self._sure < max(LEAST_SURE, SURE_SHARE * repeats):
            return False
        return len(self._lost_by_target) >= LEAST_TARGETS

    def _drop_old_lost(self, now):
        while self._lost and now - self._lost[0][0] > WINDOW_S:
            _, key, is_sure = heappop(self._lost)
            self._sure -= is_sure
            self._lost_by_target[key] -= 1
            if not self._lost_by_target[key]:
                self._lost_by_target.pop(key)


def _drop_old(times, now):
    while times and now - times[0] > WINDOW_S:
        times.popleft()
