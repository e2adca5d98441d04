"""Events in the order of their times."""

import heapq
import itertools


class EventLoop:
    """A clock that jumps from one event to the next."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._ties = itertools.count()

    def at(self, when, run, *args):
        """Run a function at a time, never in the past."""
        when = max(when, self.now)
        heapq.heappush(self._heap, (when, next(self._ties), run, args))

    def after(self, delay, run, *args):
        """Run a function after a delay in seconds."""
        self.at(self.now + delay, run, *args)

    def run_until(self, end):
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, run, args = heapq.heappop(self._heap)
            run(*args)
        self.now = end
