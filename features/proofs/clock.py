"""Virtual time: a seeded event loop without waiting."""

import heapq


class Loop:
    """Calls functions in the order of their virtual times, in seconds."""

    def __init__(self, now=1000.0):
        """Begin at a time that is not zero."""
        self.now = now
        self._queue = []
        self._order = 0

    def at(self, delay, func, *args):
        """Call a function after a delay."""
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, func, args))

    def run_until(self, end):
        """Run everything that is due before a time, and stand there."""
        while self._queue and self._queue[0][0] <= end:
            when, _, func, args = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            func(*args)
        self.now = end
