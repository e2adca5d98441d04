"""Slots of a target stand-in with a bounded queue before them."""

import asyncio
from collections import deque


class QueueFull(Exception):
    """All slots and all places in the queue are taken."""


class Slots:
    """A fixed number of slots; who comes later waits in order.

    :param count: requests that run at the same time.
    :param queue_limit: requests that may wait.
    """

    def __init__(self, count, queue_limit):
        """Start with all slots free."""
        self.count = count
        self.queue_limit = queue_limit
        self.in_flight = 0
        self._waiters = deque()

    @property
    def waiting(self):
        """Requests that wait for a slot."""
        return len(self._waiters)

    async def take(self):
        """Wait for a slot.

        :raises QueueFull: at once, if the queue has no place.
        """
        if self.in_flight < self.count:
            self.in_flight += 1
            return
        if len(self._waiters) >= self.queue_limit:
            raise QueueFull
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append(fut)
        try:
            await fut
        except asyncio.CancelledError:
            self._forget(fut)
            raise

    def release(self):
        """Give a slot back, to the first that waits."""
        while self._waiters:
            fut = self._waiters.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self.in_flight -= 1

    def _forget(self, fut):
        if fut in self._waiters:
            self._waiters.remove(fut)
        elif fut.done() and not fut.cancelled():
            # The slot was handed over in the same turn in which the waiter
            # was cancelled; without this it would be lost for ever.
            self.release()
